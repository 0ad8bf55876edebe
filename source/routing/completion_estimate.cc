#include "routing/completion_estimate.h"

#include <algorithm>
#include <cmath>

namespace millstair {
namespace {

constexpr double kMinResidenceSeconds = 0.05;
/// Share of the waiting work that is served before a new live request; rollouts wait behind it.
constexpr double kWaitingAheadOfLive = 0.5;
/// Initial factor of the slow start; it falls linearly to 1.
constexpr double kSlowStartFactor = 3;
constexpr double kSlowStartSeconds = 5;
constexpr uint32_t kDefaultSequences = 32;

}  // namespace

double SlowStartFactor(const EngineView& engine, TimePoint now) {
  if (!engine.slow_starting) return 1;
  const double elapsed = ToSeconds(now - engine.serving_since);
  if (elapsed >= kSlowStartSeconds) return 1;
  return 1 + (kSlowStartFactor - 1) * (1 - elapsed / kSlowStartSeconds);
}

namespace {

/// Share of the waiting work that is served before a request of `priority`.
double AheadShare(RequestPriority priority) {
  return priority == RequestPriority::kRollout ? 1 : kWaitingAheadOfLive;
}

}  // namespace

double LoadConfidence(const EngineView& engine, const FleetStats& fleet, TimePoint now) {
  // The gateways share the engine over the report's whole validity, not just now.
  const double age =
      std::max(fleet.report_horizon_seconds, ToSeconds(now - engine.load.taken_at()));
  const double residence = std::max(kMinResidenceSeconds, fleet.mean_residence_seconds);
  const double retained = std::exp(-age / residence);
  const double others = 1 - 1.0 / std::max(1U, fleet.gateways);
  return 1 - others * (1 - retained);
}

double EstimatedSequences(const EngineView& engine, const FleetStats& fleet, TimePoint now) {
  const double confidence = LoadConfidence(engine, fleet, now);
  return confidence * engine.load.Sequences() + (1 - confidence) * fleet.mean_sequences;
}

CompletionEstimate EstimateCompletion(const EngineView& engine, const EstimatedWork& work,
                                      const FleetStats& fleet, TimePoint now) {
  const EngineReport& report = engine.load.report();
  const double max_sequences =
      std::max<uint32_t>(1, report.max_sequences == 0 ? kDefaultSequences : report.max_sequences);
  const double sequences = EstimatedSequences(engine, fleet, now) + 1;
  const double step = engine.step_time.Seconds(std::min(sequences, max_sequences));
  const double slow = SlowStartFactor(engine, now);
  const double ahead = AheadShare(work.priority);
  CompletionEstimate estimate;
  if (sequences > max_sequences) {
    estimate.wait_seconds =
        ahead * (sequences - max_sequences) * fleet.mean_tokens * step / max_sequences;
  }
  const double blocks_needed =
      (work.prompt_tokens + work.expected_tokens - work.cached_tokens) / kPrefixBlockTokens;
  const double blocks_missing = blocks_needed - engine.load.FreeKvBlocks();
  if (report.total_kv_blocks > 0 && blocks_missing > 0) {
    const double share = std::min(1.0, blocks_missing / report.total_kv_blocks);
    estimate.wait_seconds += ahead * share * fleet.mean_tokens * step;
  }
  const double uncached = std::max(0.0, work.prompt_tokens - work.cached_tokens);
  estimate.prefill_seconds =
      step + fleet.prefill_seconds_per_token *
                 (ahead * std::max(0.0, engine.load.WaitingPrefillTokens()) + uncached);
  estimate.decode_seconds = work.expected_tokens * step;
  estimate.wait_seconds *= slow;
  estimate.prefill_seconds *= slow;
  estimate.decode_seconds *= slow;
  return estimate;
}

Duration UnloadedFirstToken(const EngineView& engine, const EstimatedWork& work,
                            const FleetStats& fleet) {
  const double uncached = std::max(0.0, work.prompt_tokens - work.cached_tokens);
  return FromSeconds(engine.step_time.Seconds(1) + fleet.prefill_seconds_per_token * uncached);
}

}  // namespace millstair
