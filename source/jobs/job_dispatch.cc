/// Which item goes to which engine: the part of JobScheduler that begins runs and moves them.
#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "jobs/job_scheduler.h"

namespace millstair {
namespace {

/// Makes any other engine with room the better choice.
constexpr uint32_t kSlowEngineCost = 1000;
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

void JobScheduler::MoveFromSlowEngines() {
  size_t moved = 0;
  for (auto& [job, job_work] : jobs_) {
    const JobRecord* record = state_.Find(job);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) continue;
    for (const auto& work : job_work.items) {
      if (moved >= kMovesAtOnce) return;
      if (work == nullptr || state_.IsListed(job, work->index)) continue;
      if (work->phase == Phase::kRunning && Move(*work, *record, *route)) {
        ++moved;
      }
    }
  }
}

bool JobScheduler::Move(Work& work, const JobRecord& record, const Route& route) {
  const InstanceId from = work.run->instance();
  if (work.moves >= kMostMoves || !pace_.IsSlow(from)) return false;
  work.avoid = from;
  const auto target = PickEngine(work, record, route);
  if (!target || pace_.IsSlow(target->id)) return false;
  LogEvent(EventId::kItemMoved, "job={} item={} from={} to={} events={}", work.job,
           record.spec.items[work.index].id, from, target->id, work.progress.events);
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

std::optional<BackendInstance> JobScheduler::PickEngine(Work& work, const JobRecord& record,
                                                        const Route& route) {
  BackendDirectory& directory = ingress_.directory();
  const JobSpec& spec = record.spec;
  const BackendInstance* best = nullptr;
  uint32_t best_cost = 0;
  const std::string& group = spec.items[work.index].group;
  JobWork& job = jobs_.at(work.job);
  const auto sibling = group.empty() ? job.group_engines.end() : job.group_engines.find(group);
  for (const ServiceShare& share : route.services) {
    for (const BackendInstance* engine : directory.Live(share.service)) {
      if (engine->id == work.avoid || directory.Ejected(engine->id)) continue;
      if (loads_.Loading(engine->id, spec.model)) continue;
      const WeightVersion held = loads_.VersionOf(engine->id, spec.model);
      if (held < spec.min_version) continue;
      if (NeedsOneVersion(work, route) && held != work.progress.version) continue;
      const uint32_t running = directory.Running(engine->id);
      if (running >= std::max(1U, engine->slots)) continue;
      const bool same_group = sibling != job.group_engines.end() && sibling->second == engine->id;
      // The prompt of a group is kept by the engine that read it: that is worth one place.
      const uint32_t slow_cost = pace_.IsSlow(engine->id) ? kSlowEngineCost : 0;
      const uint32_t cost = 2 * running + (same_group ? 0 : 1) + slow_cost;
      if (best != nullptr && cost >= best_cost) continue;
      best = engine;
      best_cost = cost;
    }
  }
  work.avoid = InstanceId();
  if (best == nullptr) return std::nullopt;
  if (!group.empty()) job.group_engines[group] = best->id;
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
  ItemRunOptions options{options_.stall, {record.spec.min_version, route.single_version}};
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
