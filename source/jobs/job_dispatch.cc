/// The part of JobScheduler that assigns items to engines, starts runs and moves them.
#include <algorithm>
#include <limits>

#include "common/event_log.h"
#include "jobs/job_scheduler.h"
#include "jobs/placement.h"

namespace millstair {
namespace {

/// Stall timeout as a multiple of the engine's usual time between two events.
constexpr double kStallIntervals = 25;
/// Leaves time for a dozen prompts read before the first event and for preempted runs.
constexpr Duration kMinStallTimeout = std::chrono::milliseconds(1000);
/// Time after a late pass until what arrived during the pause has been read.
constexpr Duration kResumeTime = std::chrono::milliseconds(100);
/// How often runs are considered for a move.
constexpr Duration kMoveInterval = std::chrono::milliseconds(100);
constexpr uint32_t kMaxMoves = 2;
/// The same for runs that leave an engine that has become slow, or would make their job late, if
/// jobs share engines by their lateness: a text of 58 events was left for 5 s at an engine that
/// turned four times slower after the second move.
constexpr uint32_t kMaxMovesOfLateRuns = 6;
constexpr size_t kMaxMovesPerPass = 4;
/// The fastest engine is chosen, as for an item without time to spare.
constexpr double kNoDueTime = std::numeric_limits<double>::infinity();

}  // namespace

void JobScheduler::RecordSilentEngines() {
  if (!options_.shares_steps) return;
  struct EngineRuns {
    std::optional<TimePoint> last_event;
    /// Latest start of a run without an event.
    TimePoint last_start;
  };
  std::map<InstanceId, EngineRuns> engines;
  for (const auto& [job, job_work] : jobs_) {
    for (const auto& work : job_work.items) {
      if (work == nullptr || work->run == nullptr) continue;
      EngineRuns& runs = engines[work->run->instance()];
      const auto event = work->run->last_event_at();
      if (event) {
        runs.last_event = std::max(runs.last_event.value_or(*event), *event);
      } else {
        runs.last_start = std::max(runs.last_start, work->run->started_at());
      }
    }
  }
  const TimePoint now = environment_.Now();
  speeds_.ExpireSilences([&](const InstanceId& engine) { return engines.contains(engine); }, now);
  std::erase_if(load_ends_, [&](const auto& entry) { return !engines.contains(entry.first); });
  // Events that arrived during a pause of this node may still be unread.
  const bool paused = resumed_at_ && now - *resumed_at_ < kResumeTime;
  for (const auto& [engine, runs] : engines) {
    if (loads_.LoadingAny(engine)) {
      load_ends_[engine].reset();
      continue;
    }
    const auto load = load_ends_.find(engine);
    if (load != load_ends_.end() && !load->second) load->second = now;
    if (paused || !runs.last_event) continue;
    // It reads a prompt.
    const bool reads = runs.last_start > *runs.last_event;
    if (reads && now - runs.last_start < StallTimeout(engine)) continue;
    const TimePoint since =
        load == load_ends_.end() ? *runs.last_event : std::max(*runs.last_event, *load->second);
    speeds_.RecordSilence(engine, now - since);
  }
}

void JobScheduler::DispatchWaiting(EngineSnapshot& snapshot) {
  const TimePoint now = environment_.Now();
  std::vector<Rank> sent;
  // Jobs for which no engine has a free slot; their other items are skipped.
  std::set<JobId> stuck;
  std::set<const Route*> full;
  for (const Rank& rank : waiting_) {
    if (stuck.contains(rank.job)) continue;
    const JobRecord* record = state_.Find(rank.job);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) {
      stuck.insert(rank.job);
      continue;
    }
    // Already recorded: its body is cleared, and HandleChanges removes it.
    if (state_.IsRecorded(rank.job, rank.index)) continue;
    Work& work = *jobs_.at(rank.job).items.at(rank.index);
    if (now < work.not_before || !MaySend(work, *record)) continue;
    if (Dispatch(snapshot, work, *record, *route)) {
      sent.push_back(rank);
      continue;
    }
    full.insert(route);
    if (!RequiresSameVersion(work, *route)) {
      stuck.insert(rank.job);
    }
  }
  for (const Rank& rank : sent) waiting_.erase(rank);
  for (const Route* route : full) ReportNoFreeSlot(*route);
}

void JobScheduler::ReportNoFreeSlot(const Route& route) {
  for (const ServiceShare& share : route.services) loads_.OnNoFreeSlot(share.service);
}

std::vector<JobScheduler::MoveCandidate> JobScheduler::MoveCandidates() {
  std::vector<MoveCandidate> candidates;
  for (auto& [job, job_work] : jobs_) {
    const JobRecord* record = state_.Find(job);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) continue;
    const double seconds_left = options_.shares_steps ? SecondsLeft(*record) : kNoDueTime;
    for (const auto& work : job_work.items) {
      if (work == nullptr || work->phase != Phase::kRunning) continue;
      if (state_.IsRecorded(job, work->index)) continue;
      const double remaining = RemainingEvents(*work, *record);
      const InstanceId& engine = work->run->instance();
      const double here = speeds_.Forecast(engine).SecondsPerEvent(remaining);
      const bool may_be_late = options_.shares_steps && work->tier == GroupTier::kPlanned &&
                               (remaining * here > seconds_left || speeds_.IsSlow(engine));
      if (work->moves >= (may_be_late ? kMaxMovesOfLateRuns : kMaxMoves)) continue;
      if (!WorthMoving(remaining, here, speeds_.FastestSeconds())) continue;
      if (HasTimeToSpare(remaining, here, seconds_left) && !IsLongerThanExpected(*work, *record)) {
        continue;
      }
      const bool delays_job = work->tier == GroupTier::kPlanned && remaining * here > seconds_left;
      candidates.push_back({delays_job, remaining, work.get(), record, route});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const MoveCandidate& a, const MoveCandidate& b) {
              if (a.delays_job != b.delays_job) return a.delays_job;
              return a.remaining_events > b.remaining_events;
            });
  return candidates;
}

bool JobScheduler::IsLongerThanExpected(const Work& work, const JobRecord& record) const {
  const JobItem& item = record.spec.items[work.index];
  const double expected = lengths_.ExpectedEvents(item, 0, TokensPerEvent(record));
  return static_cast<double>(work.progress.events) >= expected;
}

void JobScheduler::MoveToFasterEngines(EngineSnapshot& snapshot) {
  const TimePoint now = environment_.Now();
  if (now < next_moves_at_) return;
  next_moves_at_ = now + kMoveInterval;
  size_t moved = 0;
  for (const MoveCandidate& candidate : MoveCandidates()) {
    if (moved >= kMaxMovesPerPass) return;
    if (Move(snapshot, candidate)) ++moved;
  }
}

bool JobScheduler::Move(EngineSnapshot& snapshot, const MoveCandidate& candidate) {
  Work& work = *candidate.work;
  const JobRecord& record = *candidate.record;
  const double remaining = candidate.remaining_events;
  const InstanceId from = work.run->instance();
  work.avoid = from;
  const BackendInstance* target = PickEngine(snapshot, work, record, *candidate.route, kNoDueTime);
  if (target == nullptr || speeds_.IsSlow(target->id)) return false;
  const double here = speeds_.Forecast(from).SecondsPerEvent(remaining);
  const double there = speeds_.Forecast(target->id).SecondsPerEvent(remaining);
  if (!WorthMoving(remaining, here, there)) return false;
  LogEvent(EventId::kItemMoved, "job={} item={} from={} to={} events={} missing={:.0f}", work.job,
           record.spec.items[work.index].id, from, target->id, work.progress.events, remaining);
  ++work.moves;
  work.run.reset();
  snapshot.OnRunEnded(from);
  snapshot.OnRunStarted(target->id);
  StartRun(work, record, *candidate.route, *target);
  return true;
}

bool JobScheduler::RequiresSameVersion(const Work& work, const Route& route) {
  return route.single_version && work.progress.events > 0;
}

bool JobScheduler::AnyEngineHolds(const Route& route, const ModelName& model,
                                  WeightVersion version) const {
  for (const ServiceShare& share : route.services) {
    for (const BackendInstance* engine : loads_.EnginesOf(share.service)) {
      if (loads_.VersionOf(engine->id, model) == version) return true;
    }
  }
  return false;
}

Duration JobScheduler::StallTimeout(const InstanceId& engine) const {
  const Duration expected = FromSeconds(kStallIntervals * speeds_.MeasuredSecondsPerEvent(engine));
  return std::min(std::max(expected, kMinStallTimeout), options_.stall_timeout);
}

InstanceId JobScheduler::SiblingEngine(const Work& work, const JobRecord& record) const {
  const std::string& group = record.spec.items[work.index].group;
  const auto& engines = jobs_.at(work.job).group_engines;
  const auto sibling = engines.find(group);
  return sibling == engines.end() ? InstanceId() : sibling->second;
}

const BackendInstance* JobScheduler::PickEngine(EngineSnapshot& snapshot, Work& work,
                                                const JobRecord& record, const Route& route,
                                                double seconds_left) {
  const double remaining = RemainingEvents(work, record);
  const WeightVersion oldest = MinUsefulVersion(work, record);
  const bool one_version = RequiresSameVersion(work, route);
  const InstanceId sibling = SiblingEngine(work, record);
  std::vector<const BackendInstance*> engines;
  std::vector<EngineOffer> offers;
  for (const ServiceShare& share : route.services) {
    for (const EngineCandidate& candidate :
         snapshot.CandidatesFor(share.service, record.spec.model)) {
      if (candidate.version < oldest) continue;
      if (one_version && candidate.version != work.progress.version) continue;
      const SnapshotEngine& engine = snapshot.engine(candidate.engine);
      if (!engine.HasFreeSlot() || engine.record->id == work.avoid) continue;
      engines.push_back(engine.record);
      offers.push_back(engine.offer);
      offers.back().seconds_per_event = engine.pace.SecondsPerEvent(remaining);
      offers.back().has_prompt_cached = engine.record->id == sibling;
    }
  }
  work.avoid = InstanceId();
  const std::optional<size_t> chosen = ChooseEngine(remaining, seconds_left, offers);
  const BackendInstance* best = chosen ? engines[*chosen] : nullptr;
  const std::string& group = record.spec.items[work.index].group;
  if (best != nullptr && !group.empty()) jobs_.at(work.job).group_engines[group] = best->id;
  return best;
}

bool JobScheduler::Dispatch(EngineSnapshot& snapshot, Work& work, const JobRecord& record,
                            const Route& route) {
  const bool lost = RequiresSameVersion(work, route) &&
                    !AnyEngineHolds(route, record.spec.model, work.progress.version);
  if (lost) DiscardProgress(work);
  const double seconds_left = options_.shares_steps ? SecondsLeft(record) : kNoDueTime;
  const BackendInstance* engine = PickEngine(snapshot, work, record, route, seconds_left);
  if (engine == nullptr) return false;
  snapshot.OnRunStarted(engine->id);
  StartRun(work, record, route, *engine);
  return true;
}

BackendRequest JobScheduler::RequestFor(const Work& work, const JobRecord& record,
                                        const Route& route, const InstanceId& engine) const {
  const JobItem& item = record.spec.items[work.index];
  BackendRequest request;
  request.http = {"POST", item.path, item.headers, item.body};
  request.host = record.spec.host;
  request.request_id = item.id.value();
  request.tenant = record.spec.tenant;
  request.instance = engine;
  const Duration lifetime =
      route.item_lifetime > Duration(0) ? route.item_lifetime : options_.item_lifetime;
  const Duration age = environment_.WallNow() - record.submitted_at;
  request.time_left = std::max<Duration>(lifetime - age, std::chrono::seconds(1));
  if (work.progress.events > 0) request.resume_after = work.progress.events;
  return request;
}

void JobScheduler::StartRun(Work& work, const JobRecord& record, const Route& route,
                            const BackendInstance& engine) {
  ItemRunOptions options{StallTimeout(engine.id), {record.spec.min_version, route.single_version}};
  work.phase = Phase::kRunning;
  ++work.history.runs;
  TimePoint& first_run_at = jobs_.at(work.job).first_run_at;
  if (first_run_at == TimePoint()) first_run_at = environment_.Now();
  work.next_save_at = environment_.Now() + kMinSaveInterval;
  work.run = std::make_unique<ItemRun>(environment_, ingress_.directory(), ingress_.protocol(),
                                       work.progress, options,
                                       alive_.Guard([this, job = work.job, index = work.index](
                                                        ItemRunEnd end, const std::string& reason) {
                                         OnRunEnd(job, index, end, reason);
                                       }));
  LogEvent(EventId::kItemSent,
           "job={} item={} instance={} after={} version={} min_version={} uncommitted_ms={}",
           work.job, record.spec.items[work.index].id, engine.id, work.progress.events,
           loads_.VersionOf(engine.id, record.spec.model), record.spec.min_version,
           ToMilliseconds(group_.UncommittedFor()));
  work.run->SetGapListener([this](const InstanceId& instance, Duration gap) {
    loads_.OnResponse(instance);
    if (!loads_.LoadingAny(instance)) speeds_.RecordInterval(instance, gap, environment_.Now());
  });
  work.run->Start(http_, engine, RequestFor(work, record, route, engine.id));
}

}  // namespace millstair
