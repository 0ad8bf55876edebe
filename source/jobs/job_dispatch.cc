/// Which item goes to which engine: the part of JobScheduler that begins runs and moves them.
#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "jobs/job_scheduler.h"
#include "jobs/placement.h"

namespace millstair {
namespace {

/// So many times the usual time between two events is too long; and the least that is, which leaves
/// room for a dozen prompts read before the first event and for a run that is preempted.
constexpr double kStallEvents = 25;
constexpr Duration kLeastStall = std::chrono::milliseconds(1000);
/// How often runs are looked at for a move: as often as waiting items are in quiet times.
constexpr Duration kMoveInterval = std::chrono::milliseconds(100);
/// Times that one item is moved, and items that are moved at once.
constexpr uint32_t kMostMoves = 2;
constexpr size_t kMovesAtOnce = 4;

}  // namespace

void JobScheduler::DispatchWaiting() {
  const TimePoint now = environment_.Now();
  std::vector<Rank> sent;
  /// Jobs for which no engine has room: their further items need not be looked at.
  std::set<JobId> stuck;
  for (const Rank& rank : waiting_) {
    if (stuck.contains(rank.job)) continue;
    const JobRecord* record = state_.Find(rank.job);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) {
      stuck.insert(rank.job);
      continue;
    }
    // Listed a moment ago: its body is gone, and it goes with the next changes.
    if (state_.IsListed(rank.job, rank.index)) continue;
    Work& work = *jobs_.at(rank.job).items.at(rank.index);
    if (now < work.not_before) continue;
    if (Dispatch(work, *record, *route)) {
      sent.push_back(rank);
    } else if (!NeedsOneVersion(work, *route)) {
      stuck.insert(rank.job);
    }
  }
  for (const Rank& rank : sent) waiting_.erase(rank);
}

void JobScheduler::MoveToFasterEngines() {
  const TimePoint now = environment_.Now();
  if (now < next_moves_at_) return;
  next_moves_at_ = now + kMoveInterval;
  struct Candidate {
    double missing_events = 0;
    Work* work = nullptr;
    const JobRecord* record = nullptr;
    const Route* route = nullptr;
  };
  std::vector<Candidate> candidates;
  for (auto& [job, job_work] : jobs_) {
    const JobRecord* record = state_.Find(job);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) continue;
    for (const auto& work : job_work.items) {
      if (work == nullptr || work->phase != Phase::kRunning || work->moves >= kMostMoves) continue;
      if (state_.IsListed(job, work->index)) continue;
      const double missing = MissingEvents(*work, *record);
      const double here = pace_.SecondsPerEvent(work->run->instance());
      if (!WorthMoving(missing, here, pace_.FastestSeconds())) continue;
      candidates.push_back({missing, work.get(), record, route});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.missing_events > b.missing_events;
  });
  size_t moved = 0;
  for (const Candidate& candidate : candidates) {
    if (moved >= kMovesAtOnce) return;
    if (Move(*candidate.work, *candidate.record, *candidate.route)) ++moved;
  }
}

bool JobScheduler::Move(Work& work, const JobRecord& record, const Route& route) {
  const InstanceId from = work.run->instance();
  const double missing = MissingEvents(work, record);
  work.avoid = from;
  const auto target = PickEngine(work, record, route);
  if (!target || pace_.IsSlow(target->id)) return false;
  const double here = pace_.SecondsPerEvent(from);
  if (!WorthMoving(missing, here, pace_.SecondsPerEvent(target->id))) return false;
  LogEvent(EventId::kItemMoved, "job={} item={} from={} to={} events={} missing={:.0f}", work.job,
           record.spec.items[work.index].id, from, target->id, work.progress.events, missing);
  ++work.moves;
  work.run.reset();
  work.avoid = from;
  if (!Dispatch(work, record, route)) Requeue(work, Duration(0));
  return true;
}

bool JobScheduler::NeedsOneVersion(const Work& work, const Route& route) {
  return route.single_version && work.progress.events > 0;
}

bool JobScheduler::AnyHolds(const Route& route, const ModelName& model,
                            WeightVersion version) const {
  for (const ServiceShare& share : route.services) {
    for (const BackendInstance* engine : ingress_.directory().Live(share.service)) {
      if (loads_.VersionOf(engine->id, model) == version) return true;
    }
  }
  return false;
}

bool JobScheduler::MayRun(const BackendInstance& engine, const Work& work, const JobRecord& record,
                          const Route& route) const {
  const BackendDirectory& directory = ingress_.directory();
  if (engine.id == work.avoid || directory.Ejected(engine.id)) return false;
  if (loads_.Loading(engine.id, record.spec.model)) return false;
  const WeightVersion held = loads_.VersionOf(engine.id, record.spec.model);
  if (held < UsefulVersion(work, record)) return false;
  if (NeedsOneVersion(work, route) && held != work.progress.version) return false;
  return directory.Running(engine.id) < std::max(1U, engine.slots);
}

Duration JobScheduler::StallAt(const InstanceId& engine) const {
  const Duration expected = FromSeconds(kStallEvents * pace_.SecondsPerEvent(engine));
  return std::min(std::max(expected, kLeastStall), options_.stall);
}

EngineOffer JobScheduler::OfferOf(const InstanceId& engine, const Work& work,
                                  const JobRecord& record) const {
  const std::string& group = record.spec.items[work.index].group;
  const auto& engines = jobs_.at(work.job).group_engines;
  const auto sibling = engines.find(group);
  EngineOffer offer;
  offer.seconds_per_event = pace_.SecondsPerEvent(engine);
  offer.running = ingress_.directory().Running(engine);
  offer.slow = pace_.IsSlow(engine);
  offer.keeps_prompt = sibling != engines.end() && sibling->second == engine;
  return offer;
}

std::optional<BackendInstance> JobScheduler::PickEngine(Work& work, const JobRecord& record,
                                                        const Route& route) {
  const double missing = MissingEvents(work, record);
  const BackendInstance* best = nullptr;
  double best_cost = 0;
  for (const ServiceShare& share : route.services) {
    for (const BackendInstance* engine : ingress_.directory().Live(share.service)) {
      if (!MayRun(*engine, work, record, route)) continue;
      const double cost = PlacementCost(missing, OfferOf(engine->id, work, record));
      if (best != nullptr && cost >= best_cost) continue;
      best = engine;
      best_cost = cost;
    }
  }
  work.avoid = InstanceId();
  if (best == nullptr) return std::nullopt;
  const std::string& group = record.spec.items[work.index].group;
  if (!group.empty()) jobs_.at(work.job).group_engines[group] = best->id;
  return *best;
}

bool JobScheduler::Dispatch(Work& work, const JobRecord& record, const Route& route) {
  const bool lost =
      NeedsOneVersion(work, route) && !AnyHolds(route, record.spec.model, work.progress.version);
  if (lost) BeginAnew(work);
  const auto engine = PickEngine(work, record, route);
  if (!engine) return false;
  const JobItem& item = record.spec.items[work.index];
  BackendRequest request;
  request.http = {"POST", item.path, item.headers, item.body};
  request.host = record.spec.host;
  request.request_id = item.id.value();
  request.instance = engine->id;
  const Duration lifetime =
      route.item_lifetime > Duration(0) ? route.item_lifetime : options_.item_lifetime;
  const Duration age = environment_.WallNow() - record.submitted_at;
  request.time_left = std::max<Duration>(lifetime - age, std::chrono::seconds(1));
  if (work.progress.events > 0) request.resume_after = work.progress.events;
  ItemRunOptions options{StallAt(engine->id), {record.spec.min_version, route.single_version}};
  work.phase = Phase::kRunning;
  work.keep_from = environment_.Now() + kKeepAfter;
  work.run = std::make_unique<ItemRun>(environment_, ingress_.directory(), ingress_.protocol(),
                                       work.progress, options,
                                       alive_.Guard([this, job = work.job, index = work.index](
                                                        ItemRunEnd end, const std::string& reason) {
                                         OnRunEnd(job, index, end, reason);
                                       }));
  LogEvent(EventId::kItemSent, "job={} item={} instance={} after={} version={} min_version={}",
           work.job, item.id, engine->id, work.progress.events,
           loads_.VersionOf(engine->id, record.spec.model), record.spec.min_version);
  work.run->OnGap([this](const InstanceId& instance, Duration gap) {
    if (!loads_.LoadingAny(instance)) pace_.Note(instance, gap);
  });
  work.run->Start(http_, *engine, request);
  return true;
}

}  // namespace millstair
