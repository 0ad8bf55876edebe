#include "jobs/job_scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Interval between scheduling passes when nothing triggers one.
constexpr Duration kPumpInterval = std::chrono::milliseconds(100);
/// Minimum time between passes: each one iterates over all jobs and engines, and some hundred runs
/// can end within a second. An event of a text takes longer than this.
constexpr Duration kMinPumpInterval = std::chrono::milliseconds(10);
constexpr Duration kRefusedRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kFailedRetryDelay = std::chrono::milliseconds(50);
/// Maximum time after a version was named that items of spare groups wait for the next one. Below
/// the 6 s after which the platform counts items as idle.
constexpr Duration kMaxSpareWait = std::chrono::milliseconds(5500);
/// Delay between attempts to confirm the leadership.
constexpr Duration kCatchUpRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kProposeRetryDelay = std::chrono::milliseconds(50);
/// A pass that begins this much later than scheduled follows a pause of this node.
constexpr Duration kLatePass = std::chrono::milliseconds(100);
/// Above this wait of a proposal for its commit, nothing is started: what a leader sends that can't
/// commit is not called back by an end either. Half of the 3 s within which the platform expects
/// items to stop, and above the 1 s without a quorum after which a leader gives up.
constexpr Duration kMaxCommitWait = std::chrono::milliseconds(1500);
/// How often running items are checked for text to save.
constexpr Duration kSaveInterval = std::chrono::milliseconds(250);

std::vector<const JobRecord*> BySubmission(const std::map<JobId, JobRecord>& jobs) {
  std::vector<const JobRecord*> ordered;
  for (const auto& [job, record] : jobs) ordered.push_back(&record);
  std::stable_sort(ordered.begin(), ordered.end(), [](const JobRecord* a, const JobRecord* b) {
    return a->submitted_at < b->submitted_at;
  });
  return ordered;
}

}  // namespace

JobScheduler::JobScheduler(Environment& environment, HttpCaller& http, IngressService& ingress,
                           LoadScheduler& loads, const JobStateMachine& state, RaftGroup& group,
                           JobSchedulerOptions options, StatsRegistry* stats)
    : environment_(environment),
      http_(http),
      ingress_(ingress),
      loads_(loads),
      state_(state),
      group_(group),
      options_(options),
      stats_(stats),
      speeds_(options.shares_steps),
      pace_recorder_(
          environment, group, state, speeds_,
          [this](const InstanceId& engine) { return loads_.StateOf(engine) != nullptr; }),
      clock_keeper_(environment, state, group),
      pump_timer_(environment),
      change_timer_(environment),
      save_timer_(environment) {}

JobScheduler::~JobScheduler() { SetLeading(false); }

void JobScheduler::SetLeading(bool leading) {
  leading_ = false;
  wants_to_lead_ = leading;
  if (!leading || term_ != group_.CurrentTerm()) ending_.clear();
  term_ = group_.CurrentTerm();
  changed_.clear();
  partial_texts_.Clear();
  lengths_.Clear();
  versions_until_return_.clear();
  pace_recorder_.Stop();
  clock_keeper_.Stop();
  speeds_.Clear();
  pump_due_at_.reset();
  resumed_at_.reset();
  load_ends_.clear();
  next_forecast_at_ = TimePoint();
  no_lateness_before_ = TimePoint();
  SetForecastMetrics({}, 0);
  std::vector<JobId> known;
  for (const auto& [job, work] : jobs_) known.push_back(job);
  for (const JobId& job : known) DropJob(job);
  pump_timer_.Cancel();
  save_timer_.Cancel();
  if (wants_to_lead_) CatchUp();
}

void JobScheduler::CatchUp() {
  group_.ConfirmRead(alive_.Guard([this, term = term_](const absl::StatusOr<LogIndex>& index) {
    if (!wants_to_lead_ || leading_ || term_ != term) return;
    if (index.ok()) return StartWork();
    LogEvent(EventId::kJobCatchUpFailed, "group={} term={} reason=\"{}\"", group_.id(), term,
             std::string(index.status().message()));
    pump_timer_.Arm(kCatchUpRetryDelay, [this] { CatchUp(); });
  }));
}

void JobScheduler::StartWork() {
  leading_ = true;
  clock_keeper_.Start();
  RestorePaces();
  LoadPartialTexts();
  ScheduleSave();
  for (const JobRecord* record : BySubmission(state_.jobs())) {
    if (IsToRun(*record)) AddJob(*record);
  }
  SchedulePump(Duration(0));
}

void JobScheduler::RestorePaces() {
  if (!options_.shares_steps) return;
  const size_t restored = pace_recorder_.Start();
  LogEvent(EventId::kEnginePacesRestored, "group={} term={} engines={}", group_.id(), term_,
           restored);
  if (stats_ == nullptr) return;
  stats_
      ->NewGauge({"millstair_engine_paces_restored",
                  "Paces of engines with which this node last began to lead the batch jobs.", "",
                  ""})
      .Set(static_cast<double>(restored));
}

void JobScheduler::OnStateChange(JobChange change, const JobId& job) {
  if (!leading_) return;
  if (change == JobChange::kAnnounced) return;
  if (change == JobChange::kRestored) was_restored_ = true;
  changed_.insert(job);
  if (!change_timer_.armed()) change_timer_.Arm(Duration(0), [this] { HandleChanges(); });
}

void JobScheduler::HandleChanges() {
  if (!leading_) return;
  if (std::exchange(was_restored_, false)) return SetLeading(wants_to_lead_);
  for (const JobId& job : std::exchange(changed_, {})) {
    const JobRecord* record = state_.Find(job);
    if (record == nullptr || record->ended) {
      ending_.erase(job);
      DropJob(job);
      if (record != nullptr) UpdateLengths(*record);
    } else if (!jobs_.contains(job)) {
      if (IsToRun(*record)) AddJob(*record);
    } else {
      DropRecorded(job);
    }
  }
  Pump();
}

void JobScheduler::OnEndReceived(const JobId& job) {
  if (!wants_to_lead_) return;
  ending_.insert(job);
  const auto found = jobs_.find(job);
  const JobRecord* record = state_.Find(job);
  if (found == jobs_.end() || record == nullptr) return;
  LogJobEnd(*record, found->second);
  DropJob(job);
}

bool JobScheduler::IsToRun(const JobRecord& record) const {
  return !record.ended && !record.spec.items.empty() && !ending_.contains(record.spec.id);
}

bool JobScheduler::CommitsInTime() const { return group_.UncommittedFor() <= kMaxCommitWait; }

void JobScheduler::LogHeldStarts() {
  const bool held = !CommitsInTime();
  if (held == starts_held_) return;
  starts_held_ = held;
  LogEvent(EventId::kItemStartsHeld, "group={} term={} held={} uncommitted_ms={}", group_.id(),
           term_, held, ToMilliseconds(group_.UncommittedFor()));
}

void JobScheduler::AddJob(const JobRecord& record) {
  const JobId& id = record.spec.id;
  JobWork& job = jobs_[id];
  job.order = next_order_++;
  no_lateness_before_ = TimePoint();
  const Route* route = RouteOf(record);
  if (route != nullptr) job.priority = ingress_.routes()->PriorityOf(*route, record.spec.tenant);
  UpdateReturnLag(record);
  const uint64_t tokens_per_event = TokensPerEvent(record);
  const ItemOrder order =
      OrderItems(record.spec, [this, tokens_per_event](const JobItem& item) -> ItemEstimate {
        return {lengths_.ExpectedEvents(item, 0, tokens_per_event), lengths_.Contains(item.id)};
      });
  job.group_of_item = order.groups;
  for (const bool carried : order.carried_groups) job.groups.push_back({false, carried, false});
  for (uint32_t index = 0; index < record.spec.items.size(); ++index) {
    auto work = std::make_unique<Work>();
    work->job = id;
    work->index = index;
    work->order = order.positions[index];
    work->spare = order.spare[index];
    work->group = order.groups[index];
    work->tier = work->spare ? GroupTier::kSpare : GroupTier::kPlanned;
    job.groups[work->group].spare = work->spare;
    if (state_.IsRecorded(id, index)) {
      job.items.push_back(nullptr);
      continue;
    }
    job.items.push_back(std::move(work));
    Work& added = *job.items.back();
    if (ReuseRecordedText(record, added)) {
      Score(added, record);
      continue;
    }
    UseSavedText(record, added);
    Enqueue(added, record);
  }
  const auto event_tokens = static_cast<double>(std::max<uint64_t>(1, tokens_per_event));
  loads_.OnJobSubmitted(record.spec.model, order.expected_events * event_tokens,
                        record.spec.min_version);
}

void JobScheduler::UpdateReturnLag(const JobRecord& record) {
  for (const JobItem& item : record.spec.items) {
    const auto earlier = lengths_.EarlierMinVersion(item.id);
    if (!earlier || *earlier >= record.spec.min_version) continue;
    versions_until_return_[record.spec.model] = record.spec.min_version.value() - earlier->value();
    return;
  }
}

WeightVersion JobScheduler::MinUsefulVersion(const Work& work, const JobRecord& record) const {
  const JobSpec& spec = record.spec;
  const auto known = versions_until_return_.find(spec.model);
  if (!work.spare || known == versions_until_return_.end()) return spec.min_version;
  if (environment_.Now() >= loads_.NamedAt(spec.model) + kMaxSpareWait) return spec.min_version;
  return WeightVersion(spec.min_version.value() + known->second);
}

void JobScheduler::Enqueue(Work& work, const JobRecord& record) {
  work.phase = Phase::kWaiting;
  const double seconds = RemainingEvents(work, record) * speeds_.TypicalSeconds();
  work.latest_start = DueAt(record) - FromSeconds(seconds);
  waiting_.insert(RankOf(work));
}

TimePoint JobScheduler::DueAt(const JobRecord& record) const {
  const Route* route = RouteOf(record);
  const Duration age = environment_.WallNow() - record.submitted_at;
  const Duration allowed = route == nullptr ? Duration(0) : route->job_deadline;
  return environment_.Now() + allowed - age;
}

double JobScheduler::SecondsLeft(const JobRecord& record) const {
  const Route* route = RouteOf(record);
  if (route == nullptr || route->job_deadline <= Duration(0)) {
    return std::numeric_limits<double>::infinity();
  }
  return ToSeconds(DueAt(record) - environment_.Now());
}

double JobScheduler::RemainingEvents(const Work& work, const JobRecord& record) const {
  return RemainingEvents(work, record, TokensPerEvent(record));
}

double JobScheduler::RemainingEvents(const Work& work, const JobRecord& record,
                                     uint64_t tokens_per_event) const {
  const JobItem& item = record.spec.items[work.index];
  const uint64_t made = work.progress.events;
  const double expected = lengths_.ExpectedEvents(item, made, tokens_per_event);
  return std::max(1.0, expected - static_cast<double>(made));
}

uint64_t JobScheduler::TokensPerEvent(const JobRecord& record) const {
  return TokensPerEvent(RouteOf(record));
}

uint64_t JobScheduler::TokensPerEvent(const Route* route) const {
  if (route == nullptr) return 0;
  for (const ServiceShare& share : route->services) {
    const Service* service = ingress_.routes()->FindService(share.service);
    if (service != nullptr && service->engine) return service->engine->tokens_per_event;
  }
  return 0;
}

void JobScheduler::UpdateLengths(const JobRecord& record) {
  for (size_t position = 0; position < record.results.size(); ++position) {
    const JobResult& result = record.results[position];
    const ItemId& item = record.spec.items[result.item].id;
    const bool complete = result.state == ItemState::kDone;
    lengths_.RecordLength(item, EventsOfText(result.text), complete, record.spec.min_version);
    if (complete) lengths_.RecordTextLocation(item, {record.spec.id, position});
  }
  for (uint32_t index = 0; index < record.spec.items.size(); ++index) {
    const auto progress = record.progress.find(index);
    const uint64_t made = progress == record.progress.end() ? 0 : progress->second.events;
    lengths_.RecordLength(record.spec.items[index].id, made, false, record.spec.min_version);
  }
}

JobScheduler::Rank JobScheduler::RankOf(const Work& work) const {
  const JobWork& job = jobs_.at(work.job);
  return {job.priority,     work.tier,         work.tier == GroupTier::kSpare ? 0 : job.position,
          work.group_order, work.latest_start, job.order,
          work.order,       work.job,          work.index};
}

bool JobScheduler::ReuseRecordedText(const JobRecord& record, Work& work) {
  const auto recorded = lengths_.RecordedTextOf(record.spec.items[work.index].id);
  const JobRecord* earlier = recorded ? state_.Find(recorded->job) : nullptr;
  if (earlier == nullptr || recorded->position >= earlier->results.size()) return false;
  if (earlier->spec.tenant != record.spec.tenant) return false;
  const JobResult& result = earlier->results[recorded->position];
  const Route* route = RouteOf(record);
  if (route == nullptr || (route->single_version && result.versions.size() > 1)) return false;
  const bool fits =
      std::all_of(result.versions.begin(), result.versions.end(),
                  [&record](WeightVersion version) { return version >= record.spec.min_version; });
  if (!fits) return false;
  work.progress.text = result.text;
  work.progress.events = EventsOfText(result.text);
  work.progress.versions = result.versions;
  LogEvent(EventId::kItemReused, "job={} item={} earlier={} events={}", work.job,
           record.spec.items[work.index].id, recorded->job, work.progress.events);
  return true;
}

void JobScheduler::UseSavedText(const JobRecord& record, Work& work) {
  const auto own = record.progress.find(work.index);
  if (own != record.progress.end()) {
    // Saved by an earlier leader; the next save replaces it under this leader's term.
    work.progress = own->second;
    return;
  }
  auto carried = partial_texts_.Take({record.spec.tenant, record.spec.items[work.index].id},
                                     record.spec.min_version);
  if (carried) work.progress = *std::move(carried);
}

void JobScheduler::CachePartialText(const JobRecord* record, Work& work) {
  if (record == nullptr || work.index >= record->spec.items.size()) return;
  const ItemId& item = record->spec.items[work.index].id;
  if (work.phase == Phase::kRecording && work.result.state == ItemState::kDone) {
    work.progress.text = std::move(work.result.text);
    work.progress.versions = std::move(work.result.versions);
  }
  lengths_.RecordLength(item, work.progress.events, false, record->spec.min_version);
  partial_texts_.Store({record->spec.tenant, item}, std::move(work.progress));
}

void JobScheduler::LoadPartialTexts() {
  // The oldest first, since what exceeds the bounds is evicted in this order.
  for (const JobRecord* record : BySubmission(state_.jobs())) {
    if (!record->ended) continue;
    UpdateLengths(*record);
    for (const auto& [index, progress] : record->progress) {
      partial_texts_.Store({record->spec.tenant, record->spec.items[index].id}, progress);
    }
  }
}

void JobScheduler::ScheduleSave() {
  save_timer_.Arm(kSaveInterval, [this] { SaveLongTexts(); });
}

void JobScheduler::SaveLongTexts() {
  ScheduleSave();
  std::vector<ProgressPart> parts = CollectProgress();
  if (parts.empty()) return;
  const JobCommand command{SaveProgress{parts}, environment_.WallNow()};
  group_.Propose(EncodeJobCommand(command),
                 alive_.Guard([this, parts = std::move(parts)](const auto& result) {
                   if (!result.ok()) MarkUnsaved(parts);
                 }));
}

std::vector<ProgressPart> JobScheduler::CollectProgress() {
  const TimePoint now = environment_.Now();
  std::vector<ProgressPart> parts;
  for (auto& [job, job_work] : jobs_) {
    for (const auto& work : job_work.items) {
      if (work == nullptr || work->phase == Phase::kRecording || now < work->next_save_at) continue;
      if (work->progress.events == work->saved_events) continue;
      ProgressPart part{job, work->index, work->saved_events, {work->progress, term_}};
      part.added.text.erase(0, work->saved_bytes);
      work->saved_events = work->progress.events;
      work->saved_bytes = work->progress.text.size();
      work->next_save_at = now + kMinSaveInterval;
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

void JobScheduler::MarkUnsaved(Work& work) {
  work.saved_events = 0;
  work.saved_bytes = 0;
}

void JobScheduler::MarkUnsaved(const std::vector<ProgressPart>& parts) {
  for (const ProgressPart& part : parts) {
    Work* work = FindWork(part.job, part.item);
    if (work != nullptr) MarkUnsaved(*work);
  }
}

void JobScheduler::DropJob(const JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const JobRecord* record = state_.Find(job);
  if (leading_ && record != nullptr && record->ended) LogJobEnd(*record, found->second);
  for (const auto& work : found->second.items) {
    if (work == nullptr) continue;
    waiting_.erase(RankOf(*work));
    CancelScoring(*work);
    work->run.reset();
    const bool recorded = state_.IsRecorded(job, work->index);
    if (leading_ && !recorded) CachePartialText(record, *work);
  }
  jobs_.erase(found);
}

void JobScheduler::DropRecorded(const JobId& job) {
  const auto found = jobs_.find(job);
  for (auto& work : found->second.items) {
    if (work == nullptr || !state_.IsRecorded(job, work->index)) continue;
    waiting_.erase(RankOf(*work));
    CancelScoring(*work);
    work.reset();
  }
}

bool JobScheduler::PassIsLate(TimePoint now) const {
  return pump_due_at_ && now > *pump_due_at_ + kLatePass;
}

void JobScheduler::SchedulePump(Duration delay) {
  pump_due_at_ = environment_.Now() + delay;
  pump_timer_.Arm(delay, [this] { Pump(); });
}

void JobScheduler::Pump() {
  if (!leading_) return;
  const TimePoint now = environment_.Now();
  if (PassIsLate(now)) resumed_at_ = now;
  pump_due_at_.reset();
  if (now < next_pump_at_) return SchedulePump(next_pump_at_ - now);
  next_pump_at_ = now + kMinPumpInterval;
  FailExpiredItems();
  LogHeldStarts();
  StartScoring();
  RecordSilentEngines();
  speeds_.Recompute(now);
  UpdateForecast();
  if (CommitsInTime() && may_start_work_()) {
    EngineSnapshot snapshot(ingress_.directory(), loads_, speeds_, now);
    DispatchWaiting(snapshot);
    MoveToFasterEngines(snapshot);
  }
  if (jobs_.empty()) return pump_timer_.Cancel();
  SchedulePump(kPumpInterval);
}

const Route* JobScheduler::RouteOf(const JobSpec& spec) const {
  const RouteTable* routes = ingress_.routes();
  if (routes == nullptr) return nullptr;
  const Route* route = routes->Find(spec.host, spec.path);
  return route != nullptr && route->kind == RouteKind::kJobs ? route : nullptr;
}

void JobScheduler::OnRecorded(const JobId& job, uint32_t index) {
  const JobRecord* record = state_.Find(job);
  if (record == nullptr || index >= record->spec.items.size()) return;
  const auto running = jobs_.find(job);
  if (running != jobs_.end()) running->second.last_listed_at = environment_.Now();
  const Duration age = environment_.WallNow() - record->submitted_at;
  LogEvent(EventId::kItemListed, "job={} item={} age_ms={}", job, record->spec.items[index].id,
           ToMilliseconds(age));
  if (stats_ == nullptr) return;
  stats_
      ->NewHistogram(
          {"millstair_item_seconds", "From a job's submission to an item's result.", "", ""})
      .Observe(ToSeconds(age));
}

JobScheduler::Work* JobScheduler::FindWork(const JobId& job, uint32_t index) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || index >= found->second.items.size()) return nullptr;
  // The content of a recorded item is cleared.
  if (state_.IsRecorded(job, index)) return nullptr;
  return found->second.items[index].get();
}

void JobScheduler::DropRunLater(Work& work) {
  environment_.Schedule(Duration(0), [run = std::shared_ptr<ItemRun>(std::move(work.run))] {});
}

void JobScheduler::OnRunEnd(const JobId& job, uint32_t index, ItemRunEnd end,
                            const std::string& reason) {
  Work* work = FindWork(job, index);
  const JobRecord* record = state_.Find(job);
  if (work == nullptr || work->run == nullptr) return;
  const BackendInstance engine = work->run->target();
  const InstanceId& instance = engine.id;
  const WeightVersion named = work->run->named_version();
  DropRunLater(*work);
  if (record == nullptr) return;
  if (end == ItemRunEnd::kWrongVersion) {
    loads_.CorrectVersion(instance, record->spec.model, named);
  } else if (named != WeightVersion()) {
    loads_.RecordVersion(instance, record->spec.model, named);
  }
  if (stats_ != nullptr) {
    stats_
        ->NewCounter({"millstair_item_runs_total", "Runs of items by how they ended.", "end",
                      std::string(ItemRunEndName(end))})
        .Add();
  }
  if (end != ItemRunEnd::kComplete) {
    ++work->history.failed_runs;
    work->history.last_failure = end;
    LogEvent(EventId::kItemBroke, "job={} item={} instance={} events={} end={} reason=\"{}\"", job,
             record->spec.items[index].id, instance, work->progress.events, ItemRunEndName(end),
             reason);
  }
  ReportRunEnd(*work, *record, engine, end);
  const Route* route = RouteOf(*record);
  const uint32_t attempts = route == nullptr ? 1 : route->attempts;
  switch (end) {
    case ItemRunEnd::kComplete:
      Score(*work, *record);
      break;
    case ItemRunEnd::kRefused:
    case ItemRunEnd::kWrongInstance:
    case ItemRunEnd::kUnreachable:
      work->avoid = instance;
      Requeue(*work, kRefusedRetryDelay);
      break;
    case ItemRunEnd::kServerError:
      ++work->server_errors;
      if (work->server_errors >= attempts) {
        RecordOutcome(*work, ItemState::kFailed, "");
      } else {
        work->avoid = instance;
        Requeue(*work, kFailedRetryDelay);
      }
      break;
    case ItemRunEnd::kImpossible:
      RecordOutcome(*work, ItemState::kFailed, "");
      break;
    case ItemRunEnd::kWrongVersion:
      DiscardProgress(*work);
      Requeue(*work, kRefusedRetryDelay);
      break;
    case ItemRunEnd::kTooLong:
      // Another engine may end the text; one that goes on from here can't.
      DiscardProgress(*work);
      work->avoid = instance;
      Requeue(*work, kFailedRetryDelay);
      break;
    case ItemRunEnd::kBroken:
      work->avoid = instance;
      Requeue(*work, kFailedRetryDelay);
      break;
  }
  SchedulePump(Duration(0));
}

void JobScheduler::DiscardProgress(Work& work) {
  work.progress.Clear();
  MarkUnsaved(work);
}

void JobScheduler::Requeue(Work& work, Duration pause) {
  const JobRecord* record = state_.Find(work.job);
  if (record == nullptr) return;
  work.not_before = environment_.Now() + pause;
  Enqueue(work, *record);
}

void JobScheduler::FailExpiredItems() {
  for (auto& [job, work] : jobs_) {
    const JobRecord* record = state_.Find(job);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (record == nullptr || route == nullptr || route->item_lifetime <= Duration(0)) continue;
    if (environment_.WallNow() - record->submitted_at <= route->item_lifetime) continue;
    for (const auto& item : work.items) {
      if (item == nullptr || item->phase == Phase::kRecording) continue;
      waiting_.erase(RankOf(*item));
      CancelScoring(*item);
      item->run.reset();
      RecordOutcome(*item, ItemState::kFailed, "");
    }
  }
}

void JobScheduler::RecordOutcome(Work& work, ItemState state, std::string score) {
  work.phase = Phase::kRecording;
  work.result.item = work.index;
  work.result.state = state;
  work.result.score = std::move(score);
  if (state == ItemState::kDone) {
    work.result.text = std::move(work.progress.text);
    work.result.versions = std::move(work.progress.versions);
  } else {
    LogEvent(EventId::kItemGivenUp, "job={} item={} server_errors={} scoring_errors={}", work.job,
             work.index, work.server_errors, work.scoring_errors);
  }
  Propose(work.job, work.index);
}

void JobScheduler::Propose(const JobId& job, uint32_t index) {
  Work* work = FindWork(job, index);
  if (work == nullptr || !leading_) return;
  RecordResult record{job, work->result};
  if (work->saved_events > 0 && work->result.state == ItemState::kDone) {
    record.after = work->saved_events;
    record.term = term_;
    record.result.text.erase(0, work->saved_bytes);
  }
  const JobCommand command{std::move(record), environment_.WallNow()};
  group_.Propose(EncodeJobCommand(command),
                 alive_.Guard([this, job, index](const absl::StatusOr<std::string>& result) {
                   OnProposed(job, index, result);
                 }));
}

void JobScheduler::OnProposed(const JobId& job, uint32_t index,
                              const absl::StatusOr<std::string>& result) {
  if (state_.IsRecorded(job, index)) return OnRecorded(job, index);
  Work* work = FindWork(job, index);
  if (work == nullptr) return;
  // The saved part is not in the log as expected: propose the complete text.
  const auto code = result.ok() ? DecodeJobResultCode(*result) : result.status();
  if (code.ok() && *code == JobResultCode::kNotSaved) {
    MarkUnsaved(*work);
    return Propose(job, index);
  }
  environment_.Schedule(kProposeRetryDelay, alive_.Guard([this, job, index] {
    if (!state_.IsRecorded(job, index)) Propose(job, index);
  }));
}

}  // namespace millstair
