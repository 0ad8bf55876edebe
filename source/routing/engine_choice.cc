// How EngineRouter selects among the candidates of a workload.
#include <algorithm>
#include <limits>

#include "common/random.h"
#include "routing/engine_router.h"

namespace millstair {
namespace {

/// Draws per wanted candidate; some hit engines that may not take the work.
constexpr uint32_t kDrawsPerCandidate = 4;
/// Estimates of plain back ends are multiplied by a random factor between this and this plus 1.
constexpr double kMinBlur = 0.5;
/// Used while the latency is unknown.
constexpr double kMinAnswerSeconds = 0.001;

/// How often the load figures of a list are refreshed.
constexpr Duration kLoadInterval = std::chrono::milliseconds(20);

template <class Candidate>
void KeepBetter(const Candidate& candidate, std::optional<Candidate>& best) {
  if (!best || candidate.seconds < best->seconds) best = candidate;
}

}  // namespace

bool EngineRouter::Eligible(const EngineView& engine, const Workload& workload,
                            const RoutingRequest& request, bool last_resort) const {
  if (engine.Leaving() && !options_.faults.choose_leaving) return false;
  if (!request.excluded.empty() && request.excluded.contains(engine.name)) return false;
  const TimePoint now = environment_.Now();
  if (!last_resort && engine.ejection.Ejected(now)) return false;
  if (workload.plain) return engine.load.outstanding() < engine.concurrency.limit();
  if (!engine.load.has_report() || engine.weights_uncertain) return false;
  const EngineReport& report = engine.load.report();
  if (report.shards != ShardState::kConsistent || report.active_version == WeightVersion()) {
    return false;
  }
  if (!report.model.value().empty() && report.model != workload.model) return false;
  if (!last_resort && now - engine.load.taken_at() > options_.report_stale) return false;
  return request.priority != RequestPriority::kRollout || FreeForRollouts(engine) >= 1;
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseByPolicy(Workload& workload,
                                                                    const RoutingRequest& request,
                                                                    bool last_resort) {
  switch (options_.policy) {
    case RoutingPolicy::kRoundRobin:
      return ChooseRoundRobin(workload, request, last_resort);
    case RoutingPolicy::kLeastOutstanding:
      return ChooseLeastOutstanding(workload, request, last_resort);
    case RoutingPolicy::kEstimate:
    case RoutingPolicy::kEstimateWithoutPrefix:
      break;
  }
  return ChooseByEstimate(workload, request, last_resort);
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseRoundRobin(Workload& workload,
                                                                      const RoutingRequest& request,
                                                                      bool last_resort) {
  for (size_t tried = 0; tried < workload.all.size(); ++tried) {
    const EngineSlot slot = workload.all[workload.next++ % workload.all.size()];
    if (Eligible(*engines_[slot], workload, request, last_resort)) return Evaluate(slot, request);
  }
  return std::nullopt;
}

std::optional<EngineRouter::Candidate> EngineRouter::ChooseLeastOutstanding(
    const Workload& workload, const RoutingRequest& request, bool last_resort) {
  std::optional<EngineSlot> best;
  double least = 0;
  uint64_t ties = 0;
  for (const EngineSlot slot : workload.all) {
    const EngineView& engine = *engines_[slot];
    if (!Eligible(engine, workload, request, last_resort)) continue;
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

std::optional<EngineRouter::Candidate> EngineRouter::ChooseByEstimate(Workload& workload,
                                                                      const RoutingRequest& request,
                                                                      bool last_resort) {
  std::optional<Candidate> best;
  ConsiderPrefixHolders(workload, request, last_resort, best);
  ConsiderSampled(workload.home, workload, request, last_resort, best);
  if (!best || !best->has_capacity) {
    ConsiderSampled(workload.away, workload, request, last_resort, best);
  }
  return best;
}

void EngineRouter::UpdateLoad(CandidateList& list) const {
  const TimePoint now = environment_.Now();
  if (list.computed && now - list.computed_at < kLoadInterval) return;
  list.computed = true;
  list.computed_at = now;
  double sum = 0;
  double least = std::numeric_limits<double>::max();
  double counted = 0;
  for (const EngineSlot slot : list.slots) {
    const EngineView& engine = *engines_[slot];
    if (engine.Leaving() || engine.weights_uncertain || engine.ejection.Ejected(now)) continue;
    if (engine.type == EngineType::kModel && !engine.load.has_report()) continue;
    const double sequences = engine.load.Sequences();
    sum += sequences;
    least = std::min(least, sequences);
    ++counted;
  }
  list.mean_sequences = counted == 0 ? 0 : sum / counted;
  list.min_sequences = counted == 0 ? 0 : least;
}

bool EngineRouter::DrawAccepted(const CandidateList& list, EngineSlot slot) {
  const EngineView& engine = *engines_[slot];
  const double confidence = LoadConfidence(engine, fleet_, environment_.Now());
  const double most = list.mean_sequences - confidence * list.min_sequences;
  if (most <= 0) return true;
  const double below = list.mean_sequences - confidence * engine.load.Sequences();
  const double slow = SlowStartFactor(engine, environment_.Now());
  return DrawUnit(environment_.Random()) * most * slow < below;
}

void EngineRouter::ConsiderSampled(CandidateList& list, const Workload& workload,
                                   const RoutingRequest& request, bool last_resort,
                                   std::optional<Candidate>& best) {
  if (list.slots.empty()) return;
  UpdateLoad(list);
  const size_t count = list.slots.size();
  const bool all = count <= size_t{options_.sampled} * kDrawsPerCandidate;
  const uint64_t first = DrawBelow(environment_.Random(), count);
  const size_t draws = all ? count : size_t{options_.sampled} * kDrawsPerCandidate;
  // With several gateways, selecting the best of several samples would again make all of them
  // select the same engine.
  const uint32_t wanted = fleet_.gateways > 1 ? 1 : options_.sampled;
  uint32_t accepted = 0;
  std::optional<Candidate> sampled;
  std::vector<EngineSlot> refused;
  for (size_t i = 0; i < draws && accepted < wanted; ++i) {
    const uint64_t position = all ? first + i : DrawBelow(environment_.Random(), count);
    const EngineSlot slot = list.slots[position % count];
    if (!Eligible(*engines_[slot], workload, request, last_resort)) continue;
    if (!DrawAccepted(list, slot)) {
      refused.push_back(slot);
      continue;
    }
    ++accepted;
    KeepBetter(Evaluate(slot, request), sampled);
  }
  // No engine was accepted: use the best of those drawn, or any that may take the work.
  for (size_t i = 0; i < count && !all && accepted == 0 && refused.empty(); ++i) {
    const EngineSlot slot = list.slots[(first + i) % count];
    if (Eligible(*engines_[slot], workload, request, last_resort)) refused.push_back(slot);
  }
  if (accepted == 0) {
    for (const EngineSlot slot : refused) KeepBetter(Evaluate(slot, request), sampled);
  }
  if (sampled) KeepBetter(*sampled, best);
}

void EngineRouter::ConsiderPrefixHolders(const Workload& workload, const RoutingRequest& request,
                                         bool last_resort, std::optional<Candidate>& best) {
  if (options_.policy != RoutingPolicy::kEstimate || request.prefix_blocks.empty()) return;
  const std::vector<EngineSlot>* holders = prefixes_.BestHolders(request.prefix_blocks);
  if (holders == nullptr) return;
  uint32_t considered = 0;
  const uint64_t first = DrawBelow(environment_.Random(), holders->size());
  const size_t draws = std::min<size_t>(holders->size(), size_t{options_.prefix_holders} * 2);
  for (size_t i = 0; i < draws && considered < options_.prefix_holders; ++i) {
    const EngineSlot slot = (*holders)[(first + i) % holders->size()];
    if (!std::binary_search(workload.all.begin(), workload.all.end(), slot)) continue;
    if (!Eligible(*engines_[slot], workload, request, last_resort)) continue;
    ++considered;
    KeepBetter(Evaluate(slot, request), best);
  }
}

EngineRouter::Candidate EngineRouter::Evaluate(EngineSlot slot,
                                               const RoutingRequest& request) const {
  const EngineView& engine = *engines_[slot];
  Candidate candidate;
  candidate.slot = slot;
  if (engine.type == EngineType::kHttp) {
    // Randomized, so that a back end that was slow once is tried again. One with unknown latency
    // comes first.
    const double blur = kMinBlur + DrawUnit(environment_.Random());
    const double answer = std::max(kMinAnswerSeconds, engine.answer_seconds);
    candidate.seconds = answer * (1 + engine.load.outstanding()) * blur;
    candidate.has_capacity = engine.load.outstanding() < engine.concurrency.limit();
  } else {
    candidate.work = WorkOn(slot, request);
    const CompletionEstimate estimate =
        EstimateCompletion(engine, candidate.work, fleet_, environment_.Now());
    candidate.seconds = estimate.total();
    candidate.has_capacity = estimate.wait_seconds == 0;
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
