/// Typed messages of the protocol with model engines. engine_codec maps them to JSON; the simulator
/// passes them to the engine model directly.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/ids.h"
#include "common/time.h"
#include "http/exchange.h"

namespace millstair {

/// Larger values have priority; an engine that runs out of KV memory preempts smaller ones.
enum class RequestPriority : uint8_t { kRollout = 1, kLive = 2, kUrgentLive = 3 };

/// Tokens in one block of the KV cache; prefix hashes cover complete blocks.
inline constexpr uint32_t kPrefixBlockTokens = 16;

/// Hash of a prompt prefix that ends at a block boundary; chained, so that it covers all previous
/// blocks.
using BlockHash = uint64_t;

/// The weights that produced consecutive tokens, as reported in the engine's stream.
struct VersionSpan {
  WeightVersion version;
  WeightDigest digest;
  Incarnation engine_incarnation;
  uint32_t first_token = 0;
  uint32_t token_count = 0;
  friend bool operator==(const VersionSpan&, const VersionSpan&) = default;
};

/// Request to generate. Tokens are words of text, joined by single spaces.
struct GenerateRequest {
  /// Unique per attempt; the engine uses it to resume or cancel.
  std::string request_id;
  ModelName model;
  std::string adapter;
  std::string prompt;
  uint32_t max_tokens = 0;
  RequestPriority priority = RequestPriority::kLive;
  /// Tokens already produced by other engines, in order; generation continues after them.
  std::vector<std::string> resume_tokens;
  /// Address of an engine that holds the exported KV cache of this request; empty: recompute.
  std::string kv_source;
};

/// One event of a generation stream.
struct GenerateChunk {
  std::vector<std::string> tokens;
  /// Index of the first token of this chunk in the complete generation, including resumed tokens.
  uint32_t first_token = 0;
  WeightVersion version;
  WeightDigest digest;
  Incarnation engine_incarnation;
  /// The generation is complete with this chunk.
  bool finished = false;
};

/// Receives a generation stream.
class GenerateObserver {
 public:
  virtual ~GenerateObserver() = default;
  virtual void OnChunk(const GenerateChunk& chunk) = 0;
  /// The stream ended without a finishing chunk. `leaving` is set if the engine reported that it is
  /// draining.
  virtual void OnFailed(CallFailure failure, bool leaving, const std::string& reason) = 0;
};

enum class OrderKind : uint8_t {
  kStage = 1,     ///< fetch a version from the weight store and keep it ready
  kActivate = 2,  ///< serve a staged version
  kUnload = 3,    ///< drop a staged version
  kLoadAdapter = 4,
  kUnloadAdapter = 5,
  kChangeRole = 6,
};

/// Orders carry a fence: the engine refuses one smaller than the largest that it has seen. The
/// fence is the cluster revision that caused the order, so it needs no separate consensus.
struct EngineOrder {
  OrderKind kind = OrderKind::kStage;
  Revision fence;
  ModelName model;
  WeightVersion version;
  WeightDigest digest;
  /// Path in the weight store.
  std::string location;
  std::string adapter;
  std::string role;
};

enum class ShardState : uint8_t { kConsistent = 1, kSwapping = 2, kMixed = 3 };

/// Load and state of an engine, reported with a delay.
struct EngineReport {
  Incarnation incarnation;
  ModelName model;
  WeightVersion active_version;
  WeightDigest active_digest;
  std::vector<WeightVersion> staged_versions;
  ShardState shards = ShardState::kConsistent;
  Revision last_fence;
  bool draining = false;
  std::string role;
  uint32_t running_sequences = 0;
  uint32_t waiting_sequences = 0;
  uint32_t max_sequences = 0;
  uint64_t waiting_prefill_tokens = 0;
  uint32_t free_kv_blocks = 0;
  uint32_t total_kv_blocks = 0;
  /// Smoothed time of one batch step, measured by the engine.
  Duration step_time{0};
  /// Time since the values above were sampled.
  Duration age{0};
  /// Sequence number of the newest cache event.
  uint64_t newest_cache_event = 0;
};

/// A prefix block was added to or evicted from an engine's cache.
struct CacheEvent {
  uint64_t sequence = 0;
  bool stored = true;
  BlockHash block = 0;
};

/// Response to a request for cache events.
struct CacheEvents {
  Incarnation incarnation;
  std::vector<CacheEvent> events;
  /// Events before the first one here are lost; a resync, which returns all cached blocks,
  /// recovers.
  bool gap = false;
  /// Sequence number up to which `events` are complete; the next read continues after it.
  uint64_t newest = 0;
};

/// Client of model engines.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Starts a generation on the engine at `address`. Destroying the handle cancels it there.
  virtual std::unique_ptr<CallHandle> Generate(const std::string& address, GenerateRequest request,
                                               GenerateObserver& observer) = 0;
  virtual void SendOrder(const std::string& address, const EngineOrder& order,
                         std::function<void(absl::Status)> done) = 0;
  virtual void FetchReport(const std::string& address,
                           std::function<void(absl::StatusOr<EngineReport>)> done) = 0;
  /// Fetches events after `after`, or all cached blocks if `resync`.
  virtual void FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                                std::function<void(absl::StatusOr<CacheEvents>)> done) = 0;
};

/// Chained hashes of the complete blocks of `prompt` (tokens are words).
std::vector<BlockHash> PrefixBlocks(const std::string& prompt);

}  // namespace millstair
