#include "routing/engine_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "limits/fair_share.h"

namespace millstair {
namespace {

/// Weight of a new sample in smoothed figures.
constexpr double kSmoothing = 0.1;
/// Prefill costs are measured only on prompts with at least this many uncached tokens.
constexpr uint32_t kMinPrefillTokens = 128;
constexpr double kMinPrefillSeconds = 1e-6;
constexpr double kMaxPrefillSeconds = 500e-6;
/// Maximum report age that counts towards the report horizon.
constexpr double kMaxHorizonSeconds = 5;
/// A pool that placed nothing for this long leaves its share to others.
constexpr Duration kPoolIdle = std::chrono::seconds(5);

/// Minimum time between updates of the fleet's mean load.
constexpr Duration kFleetLoadInterval = std::chrono::milliseconds(50);

double Smooth(double old, double sample) {
  return old == 0 ? sample : old + kSmoothing * (sample - old);
}

uint32_t BlocksOf(uint32_t tokens) {
  return (tokens + kPrefixBlockTokens - 1) / kPrefixBlockTokens;
}

bool CountsAgainstEngine(const PlacementOutcome& outcome) {
  if (outcome.end == PlacementEnd::kMixed) return true;
  // Repeated refusals count too; an engine that is leaving is excluded anyway.
  return outcome.end == PlacementEnd::kFailed && !outcome.leaving;
}

}  // namespace

EngineRouter::EngineRouter(Environment& environment, RouterOptions options)
    : environment_(environment), options_(std::move(options)) {}

void EngineRouter::UpdateConfiguration(const Configuration& configuration) {
  if (configured_ && rules_.revision() == configuration.revision) return;
  configured_ = true;
  rules_ = PlacementRules(configuration);
  observers_ = ObserverAssignment(configuration);
  home_gateways_ =
      std::max<uint32_t>(1, static_cast<uint32_t>(observers_.Gateways(options_.zone).size()));
  fleet_.gateways = home_gateways_;
  RebuildEngines(configuration);
  RebuildWorkloads(configuration);
  const bool engines_here =
      std::any_of(engines_.begin(), engines_.end(), [this](const auto& engine) {
        return engine->zone == options_.zone && engine->state == MemberState::kLive;
      });
  // A zone without engines shares those of other zones with all gateways.
  if (!engines_here) fleet_.gateways = std::max(1U, observers_.gateway_count());
}

void EngineRouter::RebuildEngines(const Configuration& configuration) {
  // Slots are never reused, so that placements and prefixes keep their indices.
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<EngineSpec>(&resource.spec);
    if (spec == nullptr) continue;
    const EngineName name(resource.name);
    auto found = slots_.find(name);
    if (found == slots_.end()) {
      found = slots_.emplace(name, static_cast<EngineSlot>(engines_.size())).first;
      engines_.push_back(std::make_unique<EngineView>());
      engines_.back()->name = name;
    }
    EngineView& engine = *engines_[found->second];
    if (engine.address != spec->address) {
      const EngineName same_name = engine.name;
      engine = EngineView();
      engine.name = same_name;
      engine.address = spec->address;
      prefixes_.Forget(found->second);
    }
    engine.type = spec->type;
    engine.zone = observers_.HomeZone(name);
    engine.state = EffectiveState(configuration, name);
  }
  for (const auto& [name, slot] : slots_) {
    if (configuration.resources.contains({ResourceKind::kEngine, name.value()})) continue;
    engines_[slot]->state = MemberState::kGone;
    prefixes_.Forget(slot);
  }
}

void EngineRouter::RebuildWorkloads(const Configuration& configuration) {
  std::map<ResourceKey, Workload> rebuilt;
  for (const auto& [key, resource] : configuration.resources) {
    const auto* pool = std::get_if<PoolSpec>(&resource.spec);
    const auto* group = std::get_if<TrafficGroupSpec>(&resource.spec);
    if (pool == nullptr && group == nullptr) continue;
    Workload workload;
    const auto old = workloads_.find(key);
    if (old != workloads_.end()) {
      workload.next = old->second.next;
      workload.in_flight = old->second.in_flight;
      workload.last_placed = old->second.last_placed;
    }
    workload.model = pool != nullptr ? pool->model : group->model;
    workload.plain = workload.model.value().empty();
    if (pool != nullptr) {
      workload.share = pool->share;
      workload.max_in_flight = pool->max_in_flight;
    }
    for (const EngineName& name : rules_.EnginesForWorkload(key)) {
      const EngineSlot slot = slots_.at(name);
      const bool leaving = engines_[slot]->state != MemberState::kLive;
      if (leaving && !options_.faults.choose_leaving) continue;
      workload.all.push_back(slot);
      const bool home = engines_[slot]->zone == options_.zone;
      (home ? workload.home : workload.away).slots.push_back(slot);
    }
    std::sort(workload.all.begin(), workload.all.end());
    rebuilt.emplace(key, std::move(workload));
  }
  workloads_ = std::move(rebuilt);
}

bool EngineRouter::ApplyReport(const EngineName& engine, const EngineReport& report,
                               TimePoint taken_at) {
  const auto slot = SlotOf(engine);
  if (!slot) return false;
  EngineView& view = *engines_[*slot];
  const bool known = view.load.has_report();
  const EngineReport before = view.load.report();
  const TimePoint before_taken_at = view.load.taken_at();
  if (!view.load.ApplyReport(report, taken_at)) return false;
  const bool restarted = known && before.incarnation != report.incarnation;
  const bool swapped = known && before.active_version != report.active_version;
  if (restarted) {
    view.step_time.Reset();
    view.ejection.Readmit();
    view.reported_leaving = false;
  }
  if (restarted || swapped) {
    prefixes_.Forget(*slot);
    view.serving_since = environment_.Now();
    view.slow_starting = true;
  }
  if (report.draining) {
    SetLeaving(engine, true);
  } else if (view.reported_leaving && taken_at > view.leaving_reported_at) {
    SetLeaving(engine, false);
  }
  if (known) {
    const double age =
        std::min(kMaxHorizonSeconds, ToSeconds(environment_.Now() - before_taken_at));
    fleet_.report_horizon_seconds = Smooth(fleet_.report_horizon_seconds, age);
  }
  view.step_time.Add(report.running_sequences, report.step_time);
  UpdateFleetLoad(!known);
  return true;
}

void EngineRouter::ApplyCacheEvents(const EngineName& engine, uint64_t after, bool resync,
                                    const CacheEvents& events) {
  const auto slot = SlotOf(engine);
  if (slot) prefixes_.Apply(*slot, after, resync, events, environment_.Now());
}

void EngineRouter::SetReachable(const EngineName& engine, bool reachable) {
  const auto slot = SlotOf(engine);
  if (!slot) return;
  OutlierEjection& ejection = engines_[*slot]->ejection;
  if (reachable) {
    if (!ejection.Ejected(environment_.Now())) return;
    ejection.Readmit();
    engines_[*slot]->serving_since = environment_.Now();
    engines_[*slot]->slow_starting = true;
    return;
  }
  ejection.RecordFailure(environment_.Now(), true);
}

void EngineRouter::SetWeightsUncertain(const EngineName& engine, bool weights_uncertain) {
  const auto slot = SlotOf(engine);
  if (slot) engines_[*slot]->weights_uncertain = weights_uncertain;
}

void EngineRouter::SetLeaving(const EngineName& engine, bool leaving) {
  const auto slot = SlotOf(engine);
  if (!slot) return;
  EngineView& view = *engines_[*slot];
  view.reported_leaving = leaving;
  if (leaving) view.leaving_reported_at = environment_.Now();
}

std::optional<Placement> EngineRouter::Place(const ResourceKey& workload,
                                             const RoutingRequest& request) {
  const bool rollout = workload.kind == ResourceKind::kPool;
  if (rollout && may_give_work_ && !may_give_work_()) return std::nullopt;
  const auto found = workloads_.find(workload);
  if (found == workloads_.end()) return std::nullopt;
  ++counters_.decisions;
  std::optional<Candidate> chosen = ChooseByPolicy(found->second, request, false);
  // A stale report or an ejected engine is better than no engine at all.
  if (!chosen && request.priority != RequestPriority::kRollout) {
    chosen = ChooseByPolicy(found->second, request, true);
  }
  if (!chosen) {
    ++counters_.no_engine;
    return std::nullopt;
  }
  return Record(workload, request, *chosen);
}

Placement EngineRouter::Record(const ResourceKey& workload, const RoutingRequest& request,
                               const Candidate& chosen) {
  EngineView& engine = *engines_[chosen.slot];
  OwnPlacement own;
  own.slot = chosen.slot;
  own.workload = workload;
  own.sent_at = environment_.Now();
  own.priority = request.priority;
  own.kv_blocks = BlocksOf(request.prompt_tokens + request.expected_tokens);
  own.work = chosen.work;
  own.plain = engine.type == EngineType::kHttp;
  const double uncached = std::max(0.0, request.prompt_tokens - own.work.cached_tokens);
  engine.load.OnStarted(own.sent_at, static_cast<uint32_t>(uncached), own.kv_blocks);
  counters_.prompt_tokens += request.prompt_tokens;
  counters_.prefix_tokens_expected += static_cast<uint64_t>(own.work.cached_tokens);
  if (engine.zone != options_.zone) ++counters_.other_zone;
  if (request.priority == RequestPriority::kRollout) {
    Workload& pool = workloads_.at(workload);
    ++pool.in_flight;
    pool.last_placed = own.sent_at;
  }
  if (request.priority != RequestPriority::kRollout) ++engine.live_outstanding;
  const PlacementId id(next_placement_++);
  placements_.emplace(id.value(), std::move(own));
  return {id, {engine.name, engine.address, FromSeconds(chosen.seconds)}};
}

void EngineRouter::End(PlacementId id, const PlacementOutcome& outcome) {
  const auto found = placements_.find(id.value());
  if (found == placements_.end()) return;
  const OwnPlacement placement = std::move(found->second);
  placements_.erase(found);
  EngineView& engine = *engines_[placement.slot];
  const uint32_t outstanding = engine.load.outstanding();
  engine.load.OnEnded(environment_.Now(), placement.kv_blocks);
  const auto workload = workloads_.find(placement.workload);
  if (placement.priority == RequestPriority::kRollout && workload != workloads_.end() &&
      workload->second.in_flight > 0) {
    --workload->second.in_flight;
  }
  if (placement.priority != RequestPriority::kRollout && engine.live_outstanding > 0) {
    --engine.live_outstanding;
  }
  if (outcome.leaving) SetLeaving(engine.name, true);
  if (outcome.end == PlacementEnd::kFinished) {
    engine.ejection.RecordSuccess();
    if (placement.plain) engine.concurrency.RecordLatency(outcome.elapsed, outstanding);
    UpdateFinished(engine, placement, outcome);
    return;
  }
  if (!CountsAgainstEngine(outcome)) return;
  if (placement.plain) engine.concurrency.RecordFailure();
  engine.ejection.RecordFailure(environment_.Now(), outcome.failure == CallFailure::kNotSent);
}

void EngineRouter::UpdateFinished(EngineView& engine, const OwnPlacement& placement,
                                  const PlacementOutcome& outcome) {
  if (placement.plain) {
    engine.answer_seconds = Smooth(engine.answer_seconds, ToSeconds(outcome.elapsed));
    return;
  }
  if (outcome.tokens == 0) return;
  if (placement.priority != RequestPriority::kRollout) {
    UpdateLiveLatency(engine, placement, outcome);
  }
  fleet_.mean_tokens = Smooth(fleet_.mean_tokens, outcome.tokens);
  fleet_.mean_residence_seconds = Smooth(fleet_.mean_residence_seconds, ToSeconds(outcome.elapsed));
  // Rollouts state their own expected length.
  if (placement.priority != RequestPriority::kRollout && placement.work.expected_tokens > 0) {
    const double ratio = outcome.tokens / static_cast<double>(placement.work.expected_tokens);
    const double sample = std::clamp(length_share_ * ratio, 0.01, 1.0);
    length_share_ += kSmoothing * 0.2 * (sample - length_share_);
  }
}

void EngineRouter::UpdateLiveLatency(EngineView& engine, const OwnPlacement& placement,
                                     const PlacementOutcome& outcome) {
  // Expected latency with the live requests alone, as far as this gateway knows.
  const double live = 1.0 + engine.live_outstanding * static_cast<double>(home_gateways_);
  const Duration alone = UnloadedFirstToken(engine, placement.work, fleet_) +
                         FromSeconds(outcome.tokens * engine.step_time.Seconds(live));
  engine.rollout_share.RecordLiveLatency(environment_.Now(), outcome.elapsed, alone);
}

void EngineRouter::OnFirstTokens(PlacementId id, Duration latency, uint32_t tokens) {
  const auto found = placements_.find(id.value());
  if (found == placements_.end()) return;
  const OwnPlacement& placement = found->second;
  const EngineView& engine = *engines_[placement.slot];
  const double uncached = placement.work.prompt_tokens - placement.work.cached_tokens;
  if (uncached < kMinPrefillTokens || engine.load.report().waiting_sequences > 0) return;
  const double step = engine.step_time.Seconds(engine.load.Sequences());
  const double spent = ToSeconds(latency) - tokens * step;
  const double sample = std::clamp(spent / uncached, kMinPrefillSeconds, kMaxPrefillSeconds);
  fleet_.prefill_seconds_per_token = Smooth(fleet_.prefill_seconds_per_token, sample);
}

void EngineRouter::OnLiveQueued(const ResourceKey& workload) {
  const auto found = workloads_.find(workload);
  if (found == workloads_.end()) return;
  for (const EngineSlot slot : found->second.home.slots) {
    engines_[slot]->rollout_share.OnLiveQueued(environment_.Now());
  }
}

double EngineRouter::FreeForRollouts(const EngineView& engine) const {
  const uint32_t max_rollouts =
      engine.rollout_share.Sequences(environment_.Now(), engine.load.report().max_sequences);
  return max_rollouts - EstimatedSequences(engine, fleet_, environment_.Now());
}

uint32_t EngineRouter::CapacityOf(const Workload& workload) const {
  RoutingRequest request;
  request.priority = RequestPriority::kLive;
  const bool use_home = !workload.home.slots.empty();
  const double sharers = use_home ? home_gateways_ : std::max(1U, observers_.gateway_count());
  double capacity = 0;
  for (const EngineSlot slot : use_home ? workload.home.slots : workload.away.slots) {
    const EngineView& engine = *engines_[slot];
    if (!Eligible(engine, workload, request, false)) continue;
    capacity += std::max(0.0, FreeForRollouts(engine)) / sharers;
  }
  const uint32_t gateways = std::max(1U, observers_.gateway_count());
  const uint32_t bound = std::max(1U, workload.max_in_flight / gateways);
  const uint32_t left = bound > workload.in_flight ? bound - workload.in_flight : 0;
  return std::min(left, static_cast<uint32_t>(std::ceil(capacity)));
}

uint32_t EngineRouter::RolloutCapacity(const ResourceKey& workload) const {
  if (may_give_work_ && !may_give_work_()) return 0;
  const auto found = workloads_.find(workload);
  if (found == workloads_.end()) return 0;
  const uint32_t capacity = CapacityOf(found->second);
  if (capacity == 0) return 0;
  // Other active pools of the model share the capacity by weight.
  std::vector<FairClaim> claims{{found->second.share, found->second.in_flight, capacity}};
  const TimePoint now = environment_.Now();
  for (const auto& [key, other] : workloads_) {
    if (key == workload || key.kind != ResourceKind::kPool) continue;
    if (other.model != found->second.model || now - other.last_placed > kPoolIdle) continue;
    claims.push_back({other.share, other.in_flight, capacity});
  }
  return DivideFairly(capacity, claims).front();
}

bool EngineRouter::MayTakeWork(const EngineName& engine) const {
  const auto slot = SlotOf(engine);
  if (!slot) return false;
  return !engines_[*slot]->Leaving() || options_.faults.choose_leaving;
}

const EngineView* EngineRouter::FindEngine(const EngineName& engine) const {
  const auto slot = SlotOf(engine);
  return slot ? engines_[*slot].get() : nullptr;
}

std::optional<EngineSlot> EngineRouter::SlotOf(const EngineName& engine) const {
  const auto found = slots_.find(engine);
  if (found == slots_.end()) return std::nullopt;
  return found->second;
}

uint32_t EngineRouter::ExpectedTokens(uint32_t max_tokens) const {
  return std::max(1U, static_cast<uint32_t>(length_share_ * max_tokens));
}

void EngineRouter::UpdateFleetLoad(bool immediately) {
  const TimePoint now = environment_.Now();
  if (!immediately && now - fleet_load_at_ < kFleetLoadInterval) return;
  fleet_load_at_ = now;
  double sequences = 0;
  uint32_t reporting = 0;
  for (const auto& engine : engines_) {
    if (!engine->load.has_report() || engine->Leaving()) continue;
    sequences += engine->load.Sequences();
    ++reporting;
  }
  fleet_.mean_sequences = reporting == 0 ? 0 : sequences / reporting;
}

}  // namespace millstair
