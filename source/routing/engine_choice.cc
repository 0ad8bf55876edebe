// How EngineRouter chooses among the candidates of a workload.
#include <algorithm>

#include "common/random.h"
#include "routing/engine_router.h"

namespace millstair {
namespace {

/// Draws per candidate wanted; some hit engines that may not take the work.
constexpr uint32_t kDrawsPerCandidate = 4;
/// Plain back ends: time of an answer while nothing is known.
constexpr double kUnknownAnswerSeconds = 0.01;

}  // namespace

bool EngineRouter::Eligible(const EngineView& engine, const Workload& workload,
                            const RoutingRequest& request, bool desperate) const {
  if (engine.Leaving() && !options_.faults.choose_leaving) return false;
  if (!request.excluded.empty() && request.excluded.contains(engine.name)) return false;
  const TimePoint now = environment_.Now();
  if (!desperate && engine.ejection.Ejected(now)) return false;
  if (workload.plain) return desperate || engine.load.outstanding() < engine.concurrency.limit();
  if (!engine.load.has_report()) return false;
  const EngineReport& report = engine.load.report();
  if (report.shards != ShardState::kConsistent || report.active_version == WeightVersion()) {
    return false;
  }
  if (!report.model.value().empty() && report.model != workload.model) return false;
  if (!desperate && now - engine.load.taken_at() > options_.report_stale) return false;
  return request.priority != RequestPriority::kRollout || FreeForRollouts(engine) >= 1;
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseByPolicy(Workload& workload,
                                                                    const RoutingRequest& request,
                                                                    bool desperate) {
  switch (options_.policy) {
    case RoutingPolicy::kRoundRobin:
      return ChooseRoundRobin(workload, request, desperate);
    case RoutingPolicy::kLeastOutstanding:
      return ChooseLeastOutstanding(workload, request, desperate);
    case RoutingPolicy::kEstimate:
    case RoutingPolicy::kEstimateWithoutPrefix:
      break;
  }
  return ChooseByEstimate(workload, request, desperate);
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseRoundRobin(Workload& workload,
                                                                      const RoutingRequest& request,
                                                                      bool desperate) {
  for (size_t tried = 0; tried < workload.all.size(); ++tried) {
    const EngineSlot slot = workload.all[workload.next++ % workload.all.size()];
    if (Eligible(*engines_[slot], workload, request, desperate)) return Evaluate(slot, request);
  }
  return std::nullopt;
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseLeastOutstanding(
    const Workload& workload, const RoutingRequest& request, bool desperate) {
  std::optional<EngineSlot> best;
  double least = 0;
  uint64_t ties = 0;
  for (const EngineSlot slot : workload.all) {
    const EngineView& engine = *engines_[slot];
    if (!Eligible(engine, workload, request, desperate)) continue;
    const double sequences = engine.load.Sequences();
    if (!best || sequences < least) {
      best = slot;
      least = sequences;
      ties = 1;
    } else if (sequences == least && DrawBelow(environment_.Random(), ++ties) == 0) {
      best = slot;
    }
  }
  if (!best) return std::nullopt;
  return Evaluate(*best, request);
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseByEstimate(const Workload& workload,
                                                                      const RoutingRequest& request,
                                                                      bool desperate) {
  std::optional<Candidate> best;
  ConsiderHolders(workload, request, desperate, best);
  ConsiderSampled(workload.home, workload, request, desperate, best);
  if (!best || !best->has_room) {
    ConsiderSampled(workload.away, workload, request, desperate, best);
  }
  return best;
}

void EngineRouter::ConsiderSampled(const std::vector<EngineSlot>& slots, const Workload& workload,
                                   const RoutingRequest& request, bool desperate,
                                   std::optional<Candidate>& best) {
  if (slots.empty()) return;
  uint32_t considered = 0;
  // With few engines all are looked at, from a random one on.
  const bool all = slots.size() <= options_.sampled;
  const uint64_t first = DrawBelow(environment_.Random(), slots.size());
  const size_t draws = all ? slots.size() : size_t{options_.sampled} * kDrawsPerCandidate;
  for (size_t i = 0; i < draws && considered < options_.sampled; ++i) {
    const uint64_t position =
        all || i == 0 ? first + i : DrawBelow(environment_.Random(), slots.size());
    const EngineSlot slot = slots[position % slots.size()];
    if (!Eligible(*engines_[slot], workload, request, desperate)) continue;
    ++considered;
    Consider(slot, request, best);
  }
  if (considered > 0 || all) return;
  for (size_t i = 0; i < slots.size(); ++i) {
    const EngineSlot slot = slots[(first + i) % slots.size()];
    if (!Eligible(*engines_[slot], workload, request, desperate)) continue;
    Consider(slot, request, best);
    if (++considered >= options_.sampled) return;
  }
}

void EngineRouter::ConsiderHolders(const Workload& workload, const RoutingRequest& request,
                                   bool desperate, std::optional<Candidate>& best) {
  if (options_.policy != RoutingPolicy::kEstimate || request.prefix_blocks.empty()) return;
  const std::vector<EngineSlot>* holders = prefixes_.BestHolders(request.prefix_blocks);
  if (holders == nullptr) return;
  uint32_t considered = 0;
  const uint64_t first = DrawBelow(environment_.Random(), holders->size());
  const size_t draws = std::min<size_t>(holders->size(), size_t{options_.prefix_holders} * 2);
  for (size_t i = 0; i < draws && considered < options_.prefix_holders; ++i) {
    const EngineSlot slot = (*holders)[(first + i) % holders->size()];
    if (!std::binary_search(workload.all.begin(), workload.all.end(), slot)) continue;
    if (!Eligible(*engines_[slot], workload, request, desperate)) continue;
    ++considered;
    Consider(slot, request, best);
  }
}

void EngineRouter::Consider(EngineSlot slot, const RoutingRequest& request,
                            std::optional<Candidate>& best) {
  const Candidate candidate = Evaluate(slot, request);
  if (!best || candidate.seconds < best->seconds) best = candidate;
}

EngineRouter::Candidate EngineRouter::Evaluate(EngineSlot slot,
                                               const RoutingRequest& request) const {
  const EngineView& engine = *engines_[slot];
  Candidate candidate;
  candidate.slot = slot;
  if (engine.type == EngineType::kHttp) {
    const double answer =
        engine.answer_seconds == 0 ? kUnknownAnswerSeconds : engine.answer_seconds;
    candidate.seconds = answer * (1 + engine.load.outstanding());
    candidate.has_room = engine.load.outstanding() < engine.concurrency.limit();
  } else {
    const EstimatedWork work = WorkOn(slot, request);
    const CompletionEstimate estimate =
        EstimateCompletion(engine, work, fleet_, environment_.Now());
    candidate.seconds = estimate.total();
    candidate.has_room = estimate.wait_seconds == 0;
    candidate.cached_tokens = work.cached_tokens;
  }
  if (engine.zone != options_.zone) candidate.seconds += ToSeconds(options_.other_zone_penalty);
  return candidate;
}

EstimatedWork EngineRouter::WorkOn(EngineSlot slot, const RoutingRequest& request) const {
  EstimatedWork work;
  work.prompt_tokens = request.prompt_tokens;
  work.expected_tokens = request.expected_tokens;
  work.priority = request.priority;
  if (options_.policy == RoutingPolicy::kEstimateWithoutPrefix) return work;
  const uint32_t held = prefixes_.LeadingHeld(slot, request.prefix_blocks);
  if (held == 0) return work;
  work.cached_tokens = std::min<double>(
      request.prompt_tokens, held * kPrefixBlockTokens * prefixes_.Trust(slot, environment_.Now()));
  return work;
}

}  // namespace millstair
