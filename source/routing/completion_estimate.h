/// Estimates how long a generation would take on an engine.
#pragma once

#include <cstdint>

#include "engine/engine_types.h"
#include "routing/engine_view.h"

namespace millstair {

/// What is known beside the engine's own state. Seconds and tokens.
struct FleetStats {
  /// Mean sequences per engine of the fleet; old reports are drawn towards it.
  double mean_sequences = 0;
  /// Learned mean time that a request stays on an engine.
  double mean_residence_seconds = 2;
  /// Learned age that a report reaches before the next one replaces it.
  double report_horizon_seconds = 0.5;
  /// Learned time to process one prompt token.
  double prefill_seconds_per_token = 50e-6;
  /// Learned mean of generated tokens of a request.
  double mean_tokens = 64;
  /// Gateways that send to the same engines.
  uint32_t gateways = 1;
};

struct EstimatedWork {
  uint32_t prompt_tokens = 0;
  uint32_t expected_tokens = 0;
  /// Prompt tokens believed to be in the engine's cache, weighted by trust.
  double cached_tokens = 0;
  RequestPriority priority = RequestPriority::kLive;
};

struct CompletionEstimate {
  double wait_seconds = 0;
  double prefill_seconds = 0;
  double decode_seconds = 0;
  double total() const { return wait_seconds + prefill_seconds + decode_seconds; }
};

/// By how much an engine that began to serve just now counts as slower than it is, from 1.
double SlowStartFactor(const EngineView& engine, TimePoint now);

/// How far the engine's load as known still holds, 0..1: what others changed since the report is
/// not seen, and a request that was there may have ended. What this gateway did is known.
double LoadConfidence(const EngineView& engine, const FleetStats& fleet, TimePoint now);

/// Sequences that the engine is believed to have now.
double EstimatedSequences(const EngineView& engine, const FleetStats& fleet, TimePoint now);

CompletionEstimate EstimateCompletion(const EngineView& engine, const EstimatedWork& work,
                                      const FleetStats& fleet, TimePoint now);

/// Time to the first token on an engine without other work.
Duration UnloadedFirstToken(const EngineView& engine, const EstimatedWork& work,
                            const FleetStats& fleet);

}  // namespace millstair
