#include "jobs/load_scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/event_log.h"
#include "jobs/job_codec.h"

namespace millstair {
namespace {

constexpr uint32_t kMinConcurrentLoads = 2;
constexpr uint32_t kEnginesPerLoad = 5;
constexpr double kWorkSmoothing = 0.5;
constexpr Duration kTick = std::chrono::milliseconds(50);
/// Batches the refreshes when hundreds of servers register within a second.
constexpr Duration kMinRefreshInterval = std::chrono::milliseconds(50);
/// Assumed duration of a load until one was observed.
constexpr Duration kInitialLoadTime = std::chrono::seconds(1);
constexpr Duration kMinLoadTime = std::chrono::milliseconds(50);
/// Interval between polls for the completion of a load.
constexpr Duration kPollInterval = std::chrono::milliseconds(50);
/// A load that takes longer was not accepted, or the engine is stuck.
constexpr Duration kMaxLoadTime = std::chrono::seconds(8);
/// Interval between polls for the end of an overdue load.
constexpr Duration kOverduePollInterval = std::chrono::milliseconds(500);
/// Engines that are unusable for longer are replaced in their models. Each change costs a load, and
/// an engine whose zone is cut off or that restarts is often back within seconds.
constexpr Duration kReplaceEngineAfter = std::chrono::seconds(10);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/// Time after which a request sent to an engine is assumed to have started. An engine refuses
/// requests that have not started when it receives an order.
constexpr Duration kRequestStartTime = std::chrono::milliseconds(100);

}  // namespace

LoadScheduler::LoadScheduler(Environment& environment, HttpCaller& http,
                             BackendDirectory& directory, const BackendProtocol& protocol,
                             NodeId self, LoadOptions options)
    : environment_(environment),
      http_(http),
      directory_(directory),
      protocol_(protocol),
      self_(std::move(self)),
      options_(options),
      leases_(environment, self_, options.order_lease + kLeaseMargin),
      load_time_(kInitialLoadTime),
      active_engines_(directory, environment,
                      [this](const InstanceId& engine) { return IsLost(engine); }),
      timer_(environment),
      refresh_timer_(environment) {}

LoadScheduler::~LoadScheduler() = default;

void LoadScheduler::SetLeading(RaftGroup* group) {
  group_ = group;
  caught_up_ = false;
  exchanges_.clear();
  engines_.clear();
  if (group_ == nullptr) return timer_.Cancel();
  CatchUp();
  RefreshEngines();
  Tick();
}

void LoadScheduler::CatchUp() {
  const Term term = group_->CurrentTerm();
  group_->ConfirmRead(alive_.Guard([this, term](const absl::StatusOr<LogIndex>& index) {
    if (group_ == nullptr || group_->CurrentTerm() != term) return;
    if (!index.ok()) return CatchUp();
    caught_up_ = true;
    StartLoads();
  }));
}

void LoadScheduler::Update(const Configuration& configuration, const RouteTable* routes) {
  for (const auto& [model, named] : configuration.versions) {
    const auto known = targets_.find(model);
    if (known == targets_.end() || known->second < named.version) {
      named_at_[model] = environment_.Now();
    }
  }
  targets_.clear();
  for (const auto& [model, named] : configuration.versions) targets_[model] = named.version;
  services_.clear();
  if (routes != nullptr) {
    for (const Service& service : routes->services) {
      if (service.engine) services_[service.name] = service.engine->models;
    }
  }
  if (group_ == nullptr) return;
  // Engines of models that are no longer trained are reassigned before loads start.
  AssignModels();
  ScheduleEngineRefresh();
}

void LoadScheduler::ScheduleEngineRefresh() {
  const Duration pause = refreshed_at_ + kMinRefreshInterval - environment_.Now();
  if (pause > Duration(0)) {
    if (!refresh_timer_.armed()) refresh_timer_.Arm(pause, [this] { ScheduleEngineRefresh(); });
    return;
  }
  refresh_timer_.Cancel();
  if (group_ == nullptr) return;
  RefreshEngines();
  StartLoads();
}

void LoadScheduler::OnNoFreeSlot(const ServiceName& service) {
  if (group_ == nullptr || !active_engines_.Grow(service)) return;
  RefreshEngines();
  StartLoads();
}

void LoadScheduler::RefreshEngines() {
  refreshed_at_ = environment_.Now();
  std::set<InstanceId> live;
  for (const auto& [service, models] : services_) {
    active_engines_.Refresh(service);
    for (const BackendInstance* engine : active_engines_.Engines(service)) {
      live.insert(engine->id);
      EngineLoadState& state = engines_[engine->id];
      for (const NamedVersion& held : engine->models) {
        WeightVersion& known = state.versions[held.model];
        known = std::max(known, held.version);
      }
    }
  }
  std::erase_if(engines_, [&](const auto& entry) { return !live.contains(entry.first); });
  std::erase_if(exchanges_, [&](const auto& entry) { return !live.contains(entry.first); });
  AssignModels();
}

void LoadScheduler::RefreshEnginesSoon() {
  environment_.Schedule(Duration(0), alive_.Guard([this] { ScheduleEngineRefresh(); }));
}

std::vector<const BackendInstance*> LoadScheduler::EnginesOf(const ServiceName& service) const {
  std::vector<const BackendInstance*> engines = active_engines_.Engines(service);
  std::erase_if(engines, [this](const BackendInstance* engine) { return IsLost(engine->id); });
  return engines;
}

EngineStanding LoadScheduler::StandingOf(const EngineLoadState& engine) const {
  const TimePoint now = environment_.Now();
  if (engine.reachability.IsLost(now)) return EngineStanding::kLost;
  const bool overdue = engine.loading && engine.busy && now - engine.loading_since > kMaxLoadTime;
  return overdue ? EngineStanding::kLoadOverdue : EngineStanding::kUsable;
}

void LoadScheduler::UpdateStandings() {
  const TimePoint now = environment_.Now();
  bool changed = false;
  for (auto& [instance, engine] : engines_) {
    const bool was_usable = engine.IsUsable();
    const EngineStanding standing = StandingOf(engine);
    if (standing != std::exchange(engine.standing, standing)) {
      changed = true;
      LogStanding(instance, engine);
    }
    if (was_usable && !engine.IsUsable()) engine.unusable_since = now;
    const bool counts = engine.IsUsable() || now - engine.unusable_since < kReplaceEngineAfter;
    if (counts != std::exchange(engine.is_counted, counts)) changed = true;
  }
  GiveUpLoads();
  if (!changed) return;
  RefreshEngines();
  if (on_ready_) on_ready_();
}

void LoadScheduler::LogStanding(const InstanceId& instance, const EngineLoadState& engine) const {
  const TimePoint now = environment_.Now();
  switch (engine.standing) {
    case EngineStanding::kUsable:
      LogEvent(EventId::kEngineUsable, "instance={} model={}", instance, engine.assigned);
      return;
    case EngineStanding::kLost:
      LogEvent(EventId::kEngineLost, "instance={} model={} loading={} unanswered_ms={}", instance,
               engine.assigned, engine.loading.has_value(),
               ToMilliseconds(now - *engine.reachability.unanswered_since()));
      return;
    case EngineStanding::kLoadOverdue:
      LogEvent(EventId::kLoadOverdue, "instance={} model={} version={} loading_ms={}", instance,
               engine.loading->model, engine.loading->version,
               ToMilliseconds(now - engine.loading_since));
      return;
  }
}

void LoadScheduler::GiveUpLoads() {
  const TimePoint now = environment_.Now();
  std::vector<InstanceId> given_up;
  for (const auto& [instance, engine] : engines_) {
    if (!engine.loading) continue;
    // A report that arrives in time decides whether the load is done.
    const bool unreported =
        !engine.busy && now - engine.loading_since > kMaxLoadTime + kCallTimeout;
    if (unreported || engine.standing == EngineStanding::kLost) given_up.push_back(instance);
  }
  for (const InstanceId& instance : given_up) {
    // The listener of an earlier one may have refreshed the engines.
    if (LoadingAny(instance)) EndLoad(instance, false);
  }
}

bool LoadScheduler::IsCheckDue(const InstanceId& instance, const EngineLoadState& engine) const {
  if (environment_.Now() < engine.reachability.next_check_at()) return false;
  return !engine.reachability.Responds() || directory_.Ejected(instance);
}

size_t LoadScheduler::CountEngines() const {
  return static_cast<size_t>(std::count_if(
      engines_.begin(), engines_.end(), [](const auto& entry) { return entry.second.is_counted; }));
}

void LoadScheduler::OnJobSubmitted(const ModelName& model, double work, WeightVersion min_version) {
  ModelDemand& demand = demand_[model];
  demand.work = demand.work > 0 ? demand.work + kWorkSmoothing * (work - demand.work) : work;
  const auto target = targets_.find(model);
  const bool known = target != targets_.end() && target->second >= min_version;
  demand.allowed_lag = known ? target->second.value() - min_version.value() : 0;
  AssignModels();
}

std::set<ModelName> LoadScheduler::TrainedModels() const {
  std::set<ModelName> models;
  for (const auto& [model, version] : targets_) models.insert(model);
  for (const auto& [service, held] : services_) {
    for (const ModelName& model : held) {
      if (demand_.contains(model)) models.insert(model);
    }
  }
  return models;
}

std::map<ModelName, size_t> LoadScheduler::WantedCounts() const {
  std::map<ModelName, size_t> counts;
  double total = 0;
  const auto work_of = [this](const ModelName& model) {
    const auto demand = demand_.find(model);
    return demand == demand_.end() ? 1.0 : std::max(1.0, demand->second.work);
  };
  const std::set<ModelName> models = TrainedModels();
  const size_t engines = CountEngines();
  for (const ModelName& model : models) total += work_of(model);
  // Each model gets its share rounded down, at least one; the rest goes to the largest remainders.
  size_t assigned_engines = 0;
  std::multimap<double, ModelName, std::greater<>> missing;
  for (const ModelName& model : models) {
    const double share = static_cast<double>(engines) * work_of(model) / total;
    counts[model] = std::max<size_t>(1, static_cast<size_t>(share));
    assigned_engines += counts[model];
    missing.emplace(share - static_cast<double>(counts[model]), model);
  }
  const auto smaller = [](const auto& a, const auto& b) { return a.second < b.second; };
  for (; assigned_engines > engines; --assigned_engines) {
    const auto most = std::max_element(counts.begin(), counts.end(), smaller);
    if (most->second <= 1) break;
    --most->second;
  }
  for (const auto& [fraction, model] : missing) {
    if (assigned_engines >= engines) break;
    ++counts[model];
    ++assigned_engines;
  }
  return counts;
}

LoadScheduler::EngineGroup::iterator LoadScheduler::NewestOf(EngineGroup& engines,
                                                             const ModelName& model) {
  return std::max_element(engines.begin(), engines.end(),
                          [&model](const EngineLoadState* a, const EngineLoadState* b) {
                            return a->HeldVersion(model) < b->HeldVersion(model);
                          });
}

/// Assigns one trained model to each engine, so that a new version of a model is loaded by its own
/// engines only. Changes as few assignments as possible, and leaves each model a usable engine.
void LoadScheduler::AssignModels() {
  std::map<ModelName, ModelEngines> by_model;
  for (const ModelName& model : TrainedModels()) by_model[model];
  if (by_model.empty()) return;
  EngineGroup free;
  for (auto& [instance, engine] : engines_) {
    const auto group = by_model.find(engine.assigned);
    if (engine.IsUsable()) {
      (group == by_model.end() ? free : group->second.usable).push_back(&engine);
    } else if (engine.is_counted && group != by_model.end()) {
      ++group->second.absent;
    }
  }
  const std::map<ModelName, size_t> wanted = WantedCounts();
  const auto surplus = [&wanted](const auto& entry) {
    return static_cast<std::ptrdiff_t>(entry.second.size()) -
           static_cast<std::ptrdiff_t>(wanted.at(entry.first));
  };
  const auto less_surplus = [&](const auto& a, const auto& b) { return surplus(a) < surplus(b); };
  while (!free.empty()) {
    const auto shortest = std::min_element(by_model.begin(), by_model.end(), less_surplus);
    Assign(free, shortest->first, shortest->second.usable);
  }
  while (true) {
    const auto shortest = std::min_element(by_model.begin(), by_model.end(), less_surplus);
    const auto fullest =
        std::max_element(by_model.begin(), by_model.end(), [&](const auto& a, const auto& b) {
          return std::pair(a.second.HasSpare(), surplus(a)) <
                 std::pair(b.second.HasSpare(), surplus(b));
        });
    if (!fullest->second.HasSpare()) break;
    if (surplus(*fullest) < 1 || surplus(*shortest) > -1) break;
    Assign(fullest->second.usable, shortest->first, shortest->second.usable);
  }
  AssignToUnserved(by_model);
}

void LoadScheduler::Assign(EngineGroup& from, const ModelName& model, EngineGroup& to) {
  const auto nearest = NewestOf(from, model);
  (*nearest)->assigned = model;
  to.push_back(*nearest);
  from.erase(nearest);
}

void LoadScheduler::AssignToUnserved(std::map<ModelName, ModelEngines>& by_model) {
  const auto fewer_usable = [](const auto& a, const auto& b) {
    return a.second.usable.size() < b.second.usable.size();
  };
  for (auto& [model, engines] : by_model) {
    if (!engines.usable.empty()) continue;
    ModelEngines& donor = std::max_element(by_model.begin(), by_model.end(), fewer_usable)->second;
    if (!donor.HasSpare()) return;
    Assign(donor.usable, model, engines.usable);
  }
}

uint64_t LoadScheduler::VersionsBehind(const InstanceId& instance) const {
  const EngineLoadState& engine = engines_.at(instance);
  const auto target = targets_.find(engine.assigned);
  if (target == targets_.end()) return 0;
  const uint64_t held = VersionOf(instance, engine.assigned).value();
  return target->second.value() > held ? target->second.value() - held : 0;
}

LoadScheduler::Progress LoadScheduler::ProgressOf(const ModelName& model, WeightVersion target,
                                                  const InstanceId& candidate) const {
  Progress progress;
  for (const auto& [instance, engine] : engines_) {
    if (engine.assigned != model || !engine.IsUsable()) continue;
    if (directory_.Ejected(instance)) continue;
    ++progress.engines;
    const auto held = engine.versions.find(model);
    const bool holds = held != engine.versions.end() && held->second >= target;
    const bool loads = engine.loading && engine.loading->model == model;
    const bool soon = engine.reserved && instance != candidate;
    if (holds || loads || soon) ++progress.newest;
  }
  return progress;
}

void LoadScheduler::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  UpdateStandings();
  const TimePoint now = environment_.Now();
  for (auto& [instance, engine] : engines_) {
    if (exchanges_.contains(instance)) continue;
    const bool due = engine.loading && now >= engine.next_poll_at;
    const bool reserved = engine.reserved && HasStartedAll(instance);
    if (due || reserved || IsCheckDue(instance, engine)) RequestReport(instance);
  }
  StartLoads();
}

std::optional<NamedVersion> LoadScheduler::Wanted(const InstanceId& instance) const {
  const EngineLoadState& engine = engines_.at(instance);
  const auto target = targets_.find(engine.assigned);
  if (target == targets_.end()) return std::nullopt;
  const uint64_t version = engine.HeldVersion(engine.assigned).value();
  const uint64_t newest = target->second.value();
  if (version >= newest) return std::nullopt;
  const NamedVersion wanted{engine.assigned, target->second};
  // Where jobs allow older weights, an engine can serve until its version is too old. Only a part
  // of the engines loads each version, so that not all of them go out of date at once.
  const auto demand = demand_.find(engine.assigned);
  const uint64_t lag = demand == demand_.end() ? 0 : demand->second.allowed_lag;
  if (version + lag < newest) return wanted;
  const Progress progress = ProgressOf(engine.assigned, target->second, instance);
  const bool enough_engines = progress.newest * (lag + 1) + lag >= progress.engines;
  if (enough_engines) return std::nullopt;
  return wanted;
}

uint32_t LoadScheduler::LoadsInProgress() const {
  uint32_t count = 0;
  for (const auto& [instance, engine] : engines_) {
    if (engine.IsUsable() && (engine.loading || engine.reserved)) ++count;
  }
  return count;
}

uint32_t LoadScheduler::MaxLoads() const {
  if (options_.concurrent_loads > 0) return options_.concurrent_loads;
  const auto engines = static_cast<uint32_t>(CountEngines());
  return std::max(kMinConcurrentLoads, (engines + kEnginesPerLoad - 1) / kEnginesPerLoad);
}

void LoadScheduler::StartLoads() {
  if (group_ == nullptr || !caught_up_) return;
  const TimePoint now = environment_.Now();
  std::vector<InstanceId> behind;
  for (const auto& [instance, engine] : engines_) {
    if (engine.loading || engine.reserved || exchanges_.contains(instance)) continue;
    if (now < engine.next_poll_at) continue;
    // Checks show when it responds again.
    if (!engine.IsUsable() || !engine.reachability.Responds()) continue;
    if (directory_.Ejected(instance) || !MayOrder(instance)) continue;
    if (!Wanted(instance)) continue;
    behind.push_back(instance);
  }
  // Engines with the oldest version first, then those with the fewest runs; the others finish runs
  // meanwhile.
  std::stable_sort(behind.begin(), behind.end(), [this](const auto& a, const auto& b) {
    const uint64_t a_behind = VersionsBehind(a);
    const uint64_t b_behind = VersionsBehind(b);
    if (a_behind != b_behind) return a_behind > b_behind;
    return directory_.Running(a) < directory_.Running(b);
  });
  for (const InstanceId& instance : behind) {
    if (LoadsInProgress() >= MaxLoads()) return;
    // The loads started meanwhile may suffice.
    if (Wanted(instance)) Reserve(instance);
  }
}

bool LoadScheduler::HasStartedAll(const InstanceId& instance) const {
  return environment_.Now() - directory_.LatestBegin(instance) >= kRequestStartTime;
}

void LoadScheduler::Reserve(const InstanceId& instance) {
  engines_.at(instance).reserved = true;
  if (directory_.Running(instance) == 0 || HasStartedAll(instance)) RequestReport(instance);
}

void LoadScheduler::Release(const InstanceId& instance) {
  const auto engine = engines_.find(instance);
  if (engine == engines_.end() || !std::exchange(engine->second.reserved, false)) return;
  if (on_ready_) on_ready_();
}

void LoadScheduler::RequestReport(const InstanceId& instance) {
  const BackendInstance* target = directory_.FindLive(instance);
  if (target == nullptr) return RefreshEnginesSoon();
  auto exchange = std::make_unique<BoundedCall>(
      environment_, kCallTimeout,
      alive_.Guard(
          [this, instance, sent_at = environment_.Now()](int status, const std::string& body) {
            if (exchanges_.erase(instance) == 0 || !engines_.contains(instance)) return;
            EngineLoadState& engine = engines_.at(instance);
            const TimePoint now = environment_.Now();
            const bool overdue = engine.standing == EngineStanding::kLoadOverdue;
            engine.next_poll_at = now + (overdue ? kOverduePollInterval : kPollInterval);
            if (status == 0) {
              engine.reachability.RecordNoReport(sent_at, now);
            } else {
              engine.reachability.RecordReport(now);
            }
            constexpr int kOk = 200;
            const auto report = status == kOk ? protocol_.ReadReport(body)
                                              : absl::UnavailableError("no report from the engine");
            if (report.ok()) HandleReport(instance, *report);
            Release(instance);
          }));
  BoundedCall& started = *exchange;
  exchanges_[instance] = std::move(exchange);
  started.Start(http_, target->address, protocol_.MakeReportRequest(instance));
}

void LoadScheduler::HandleReport(const InstanceId& instance, const ReportedEngine& report) {
  // Another incarnation of the server replied, so this one has ended.
  const bool other_incarnation =
      report.started_at != StartTime() && report.started_at != StartTimeOf(instance);
  if (other_incarnation) {
    directory_.OnSuperseded(instance);
    return RefreshEnginesSoon();
  }
  EngineLoadState& engine = engines_.at(instance);
  for (const NamedVersion& held : report.models) {
    engine.versions[held.model] = std::max(engine.versions[held.model], held.version);
  }
  engine.busy = report.busy;
  if (report.busy) {
    // Its own load, or one that an earlier lease holder ordered.
    if (!engine.loading) {
      engine.loading = NamedVersion{engine.assigned, WeightVersion()};
      engine.loading_since = environment_.Now();
    }
    return;
  }
  const bool is_counted = engine.IsUsable() && (engine.loading || engine.reserved);
  if (engine.loading) {
    const auto held = engine.versions.find(engine.loading->model);
    const bool done = held != engine.versions.end() && held->second >= engine.loading->version;
    const bool late = environment_.Now() - engine.loading_since > kMaxLoadTime;
    if (!done && !late) return;
    EndLoad(instance, done);
  }
  // The report of a check, or of a load that others no longer wait for: the limit of concurrent
  // loads may be reached.
  if (!is_counted || !engines_.contains(instance)) return;
  const auto wanted = Wanted(instance);
  if (wanted) ProposeOrder(instance, *wanted, report.orders);
}

Duration LoadScheduler::FirstPollDelay() const { return load_time_ * 7 / 8; }

void LoadScheduler::EndLoad(const InstanceId& instance, bool done) {
  EngineLoadState& engine = engines_.at(instance);
  const Duration took = environment_.Now() - engine.loading_since;
  LogEvent(EventId::kLoadAnswered, "instance={} model={} version={} done={} took_ms={}", instance,
           engine.loading->model, engine.loading->version, done, took.count() / 1000);
  if (done && engine.loading->version != WeightVersion()) {
    // Engines are polled before the expected end, so that shorter loads are detected. A longer load
    // counts by a quarter only.
    const Duration next = took < load_time_ ? took : load_time_ + (took - load_time_) / 4;
    load_time_ = std::clamp(next, kMinLoadTime, kMaxLoadTime);
  }
  engine.loading.reset();
  if (on_ready_) on_ready_();
  environment_.Schedule(Duration(0), alive_.Guard([this] { StartLoads(); }));
}

bool LoadScheduler::MayOrder(const InstanceId& instance) const {
  return group_ != nullptr && leases_.MayOperateOn(LeaseSubject(instance), group_->CurrentTerm());
}

void LoadScheduler::ProposeOrder(const InstanceId& instance, const NamedVersion& wanted,
                                 uint64_t orders) {
  const TimePoint now = environment_.Now();
  if (group_ == nullptr || !caught_up_ || !MayOrder(instance)) return;
  EngineLoadState& engine = engines_.at(instance);
  // Keeps new items away while the order is in progress.
  engine.loading = wanted;
  engine.loading_since = now;
  engine.next_poll_at = now + FirstPollDelay();
  const AnnounceOrder announced{self_, instance, group_->CurrentTerm(), now.time_since_epoch()};
  const JobCommand announcement{announced, environment_.WallNow()};
  group_->Propose(EncodeJobCommand(announcement),
                  alive_.Guard([this, instance, wanted, orders,
                                now](const absl::StatusOr<std::string>& committed) {
                    if (committed.ok()) return SendOrder(instance, wanted, orders, now);
                    const auto engine = engines_.find(instance);
                    if (engine != engines_.end()) engine->second.loading.reset();
                  }));
}

void LoadScheduler::SendOrder(const InstanceId& instance, const NamedVersion& wanted,
                              uint64_t orders, TimePoint announced_at) {
  const BackendInstance* target = directory_.FindLive(instance);
  const auto found = engines_.find(instance);
  // Without a load, the engine was lost or its load was given up during the commit.
  if (found == engines_.end() || !found->second.loading) return;
  // Every earlier announcement is applied here by now.
  const bool leads = group_ != nullptr && group_->IsLeader();
  const bool may_order = leads && leases_.MayStillOperateOn(LeaseSubject(instance),
                                                            group_->CurrentTerm(), announced_at);
  if (!may_order || target == nullptr) {
    found->second.loading.reset();
    return;
  }
  const LoadOrder order{wanted.model,
                        wanted.version,
                        LoadMode::kContinue,
                        self_.value(),
                        group_->CurrentTerm().value(),
                        orders,
                        instance};
  LogEvent(EventId::kLoadOrdered, "instance={} model={} version={} fence={} expected={}", instance,
           wanted.model, wanted.version, order.fence, orders);
  auto exchange = std::make_unique<BoundedCall>(
      environment_, kCallTimeout, alive_.Guard([this, instance](int status, const std::string&) {
        if (exchanges_.erase(instance) == 0 || !engines_.contains(instance)) return;
        HandleOrderAnswer(instance,
                          status == 0 ? LoadAnswer::kUnknown : protocol_.ReadLoadAnswer(status));
      }));
  BoundedCall& started = *exchange;
  exchanges_[instance] = std::move(exchange);
  started.Start(http_, target->address, protocol_.MakeLoadOrder(order));
}

void LoadScheduler::HandleOrderAnswer(const InstanceId& instance, LoadAnswer answer) {
  EngineLoadState& engine = engines_.at(instance);
  if (!engine.loading) return;
  const TimePoint now = environment_.Now();
  switch (answer) {
    case LoadAnswer::kAccepted:
      engine.loading_since = now;
      engine.next_poll_at = now + FirstPollDelay();
      return;
    case LoadAnswer::kAlreadyLoaded:
      engine.versions[engine.loading->model] =
          std::max(engine.versions[engine.loading->model], engine.loading->version);
      break;
    case LoadAnswer::kRefused:
      break;
    case LoadAnswer::kUnknown:
      // The next report shows the outcome. An order that arrives late is refused by its order
      // count.
      engine.next_poll_at = now + kPollInterval;
      LogEvent(EventId::kLoadAnswered, "instance={} model={} version={} answer=none", instance,
               engine.loading->model, engine.loading->version);
      break;
  }
  engine.loading.reset();
  engine.next_poll_at = now + kPollInterval;
  if (on_ready_) on_ready_();
}

WeightVersion EngineLoadState::HeldVersion(const ModelName& model) const {
  const auto held = versions.find(model);
  return held == versions.end() ? WeightVersion() : held->second;
}

TimePoint LoadScheduler::NamedAt(const ModelName& model) const {
  const auto found = named_at_.find(model);
  return found == named_at_.end() ? TimePoint() : found->second;
}

WeightVersion LoadScheduler::NamedVersionOf(const ModelName& model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? WeightVersion() : found->second;
}

size_t LoadScheduler::CountHolding(const ModelName& model, WeightVersion version) const {
  return static_cast<size_t>(
      std::count_if(engines_.begin(), engines_.end(), [&](const auto& entry) {
        const EngineLoadState& engine = entry.second;
        return engine.standing != EngineStanding::kLost && engine.HeldVersion(model) >= version;
      }));
}

WeightVersion LoadScheduler::VersionOf(const InstanceId& instance, const ModelName& model) const {
  const auto engine = engines_.find(instance);
  if (engine == engines_.end()) return WeightVersion();
  return engine->second.HeldVersion(model);
}

bool EngineLoadState::IsLoading(const ModelName& model) const {
  if (reserved && assigned == model) return true;
  return loading && loading->model == model;
}

const EngineLoadState* LoadScheduler::StateOf(const InstanceId& instance) const {
  const auto engine = engines_.find(instance);
  return engine == engines_.end() ? nullptr : &engine->second;
}

bool LoadScheduler::IsLost(const InstanceId& instance) const {
  const EngineLoadState* engine = StateOf(instance);
  return engine != nullptr && engine->standing == EngineStanding::kLost;
}

bool LoadScheduler::LoadingAny(const InstanceId& instance) const {
  const auto engine = engines_.find(instance);
  return engine != engines_.end() && engine->second.loading.has_value();
}

void LoadScheduler::OnResponse(const InstanceId& instance) {
  const auto engine = engines_.find(instance);
  if (engine != engines_.end()) engine->second.reachability.RecordResponse();
}

void LoadScheduler::CorrectVersion(const InstanceId& instance, const ModelName& model,
                                   WeightVersion version) {
  const auto engine = engines_.find(instance);
  if (engine == engines_.end()) return;
  WeightVersion& known = engine->second.versions[model];
  if (version >= known) return;
  LogEvent(EventId::kVersionCorrected, "instance={} model={} believed={} version={}", instance,
           model, known, version);
  known = version;
}

void LoadScheduler::RecordVersion(const InstanceId& instance, const ModelName& model,
                                  WeightVersion version) {
  const auto engine = engines_.find(instance);
  if (engine == engines_.end()) return;
  WeightVersion& known = engine->second.versions[model];
  known = std::max(known, version);
}

}  // namespace millstair
