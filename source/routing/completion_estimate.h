/// Estimates how long a generation would take on an engine.
#pragma once

#include <cstdint>

#include "engine/engine_types.h"
#include "routing/engine_view.h"

namespace millstair {

/// Fleet-wide statistics, in seconds and tokens.
struct FleetStats {
  /// Mean sequences per engine of the fleet; estimates from old reports tend towards it.
  double mean_sequences = 0;
  /// Smoothed time that a request stays on an engine.
  double mean_residence_seconds = 2;
  /// Smoothed age of a report when the next one replaces it.
  double report_horizon_seconds = 0.5;
  /// Smoothed time to process one prompt token.
  double prefill_seconds_per_token = 50e-6;
  /// Smoothed number of generated tokens per request.
  double mean_tokens = 64;
  /// Number of gateways that send to the same engines.
  uint32_t gateways = 1;
};

struct EstimatedWork {
  uint32_t prompt_tokens = 0;
  uint32_t expected_tokens = 0;
  /// Prompt tokens expected in the engine's cache, weighted by the trust in that information.
  double cached_tokens = 0;
  RequestPriority priority = RequestPriority::kLive;
};

struct CompletionEstimate {
  double wait_seconds = 0;
  double prefill_seconds = 0;
  double decode_seconds = 0;
  double total() const { return wait_seconds + prefill_seconds + decode_seconds; }
};

/// Factor, at least 1, by which the estimate of an engine that has just started to serve is raised.
double SlowStartFactor(const EngineView& engine, TimePoint now);

/// Confidence, 0..1, in the last known load of the engine. It falls with the report's age, as other
/// gateways' requests since then are unknown and earlier requests may have ended. Requests of this
/// gateway are known.
double LoadConfidence(const EngineView& engine, const FleetStats& fleet, TimePoint now);

/// Estimated sequences on the engine now.
double EstimatedSequences(const EngineView& engine, const FleetStats& fleet, TimePoint now);

CompletionEstimate EstimateCompletion(const EngineView& engine, const EstimatedWork& work,
                                      const FleetStats& fleet, TimePoint now);

/// Time to the first token on an engine without other work.
Duration UnloadedFirstToken(const EngineView& engine, const EstimatedWork& work,
                            const FleetStats& fleet);

}  // namespace millstair
