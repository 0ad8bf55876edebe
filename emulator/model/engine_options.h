/// Options of the engine model.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Duration of a batch step: base + per_sequence * decoding sequences + per_prefill_token * prompt
/// tokens processed in the step.
struct StepTimeOptions {
  Duration base = std::chrono::milliseconds(15);
  Duration per_sequence = std::chrono::microseconds(250);
  Duration per_prefill_token = std::chrono::microseconds(20);
};

/// Weights that an engine serves at its start, before any order. Version 0 is none.
struct InitialWeights {
  ModelName model;
  WeightVersion version;
  WeightDigest digest;
};

struct EngineModelOptions {
  StepTimeOptions step_time;
  uint32_t max_sequences = 32;
  /// Further requests are refused before they run.
  uint32_t max_waiting = 1024;
  uint32_t total_kv_blocks = 4096;
  /// Maximum number of prompt tokens processed in one step, over all sequences.
  uint32_t max_prefill_tokens_per_step = 2048;
  /// Tokens per chunk.
  uint32_t chunk_tokens = 8;
  /// Decode steps per timer when nothing else happens. 1 is exact; larger values run faster and
  /// delay new arrivals by up to that many steps.
  uint32_t steps_per_tick = 4;

  /// Age of the figures in a report.
  Duration report_lag = std::chrono::milliseconds(250);
  /// Delay until a cache event can be read.
  Duration cache_event_delay = std::chrono::milliseconds(100);
  /// Fraction of cache events that are lost, 0..1; their numbers are missing.
  double cache_event_loss = 0.0;
  /// Number of cache events retained; reads of older ones report a gap.
  uint32_t cache_event_retention = 65536;

  /// Duration of a weight swap, in which no step runs.
  Duration activate_time = std::chrono::milliseconds(300);
  /// Fraction of swaps that fail on some shards, 0..1.
  double activate_failure = 0.0;
  /// Maximum number of staged versions beside the active one; the oldest is dropped first.
  uint32_t max_staged = 2;
  /// Duration of a fetch when no weight store is attached.
  Duration default_fetch_time = std::chrono::milliseconds(500);
  /// Time to import one KV block of another engine.
  Duration kv_transfer_per_block = std::chrono::microseconds(50);
  /// Timeout for the reply of another engine, after which its blocks are recomputed.
  Duration kv_fetch_timeout = std::chrono::seconds(1);

  InitialWeights initial_weights;
  std::string role;
  /// First incarnation; each restart adds one.
  Incarnation first_incarnation{1};
  /// Maximum number of requests in the truth log; the oldest finished ones are removed first.
  uint32_t truth_log_limit = 1000000;
};

}  // namespace millstair
