/// Simulates an inference engine: continuous batching, KV memory with shared prefix blocks,
/// priorities with preemption, and fenced orders. No I/O and no clock of its own: it runs on an
/// Environment, in virtual time (simulator) or real time (emulator). All calls and callbacks run on
/// the environment's serial executor. Callbacks may call back into the model.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/environment.h"
#include "common/strong_id.h"
#include "emulator/model/engine_options.h"
#include "emulator/model/truth_log.h"
#include "engine/engine_types.h"

namespace millstair {

/// Identifies a generation within one model; 0 is none.
using GenerationId = StrongId<struct GenerationIdTag, uint64_t>;

/// KV blocks transferred between engines, identified by content: the leading blocks of a text.
struct KvExport {
  Incarnation incarnation;
  ModelName model;
  WeightVersion version;
  std::vector<BlockHash> blocks;
};

/// External dependencies of an engine. An empty function has a default.
struct EngineModelLinks {
  /// Fetches `location` from the weight store and returns the digest of its bytes (empty: unknown).
  /// Default: succeeds after default_fetch_time.
  std::function<void(const std::string& location,
                     std::function<void(absl::StatusOr<WeightDigest>)> done)>
      fetch_weights;
  /// Requests the leading `blocks` that the engine at `address` can export. Default: fails, and the
  /// blocks are recomputed.
  std::function<void(const std::string& address, const std::vector<BlockHash>& blocks,
                     std::function<void(absl::StatusOr<KvExport>)> done)>
      fetch_kv;
};

class EngineModel {
 public:
  EngineModel(Environment& environment, EngineModelOptions options, EngineModelLinks links = {});
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  /// Starts a generation. `observer` is called until a finishing chunk, OnFailed, or Cancel, but
  /// never from within this call. A refusal is reported as OnFailed(kRefused), with `leaving` set
  /// while draining; a crashed engine reports kNotSent.
  GenerationId Generate(GenerateRequest request, GenerateObserver& observer);
  /// Ends a generation; its observer is not called again. No effect if it has ended.
  void Cancel(GenerationId id);

  /// `done` receives OK; FailedPrecondition for a smaller fence or an order that cannot be applied;
  /// Aborted for a swap that failed partway; DataLoss for a digest mismatch; Unavailable when
  /// crashed (also for orders in progress at a crash).
  void ApplyOrder(const EngineOrder& order, std::function<void(absl::Status)> done);

  /// State as of `report_lag` ago. Unavailable when crashed.
  absl::StatusOr<EngineReport> Report() const;
  /// Readable cache events later than `after`; with `resync`, the blocks held now.
  absl::StatusOr<CacheEvents> CacheEventsAfter(uint64_t after, bool resync) const;

  /// The leading `blocks` that are in the cache.
  absl::StatusOr<KvExport> ExportKv(const std::vector<BlockHash>& blocks) const;
  /// Adds exported blocks to the cache. FailedPrecondition if they belong to other weights.
  absl::Status ImportKv(const KvExport& exported);

  /// Refuses new generations and completes those in progress.
  void Drain();
  /// Cancels a drain.
  void Undrain();
  bool draining() const;
  /// True if no generation runs or waits.
  bool Idle() const;

  /// Simulates a process crash: streams fail (kCut, or kUnknown before their first chunk); cache,
  /// staged weights, adapters and fence are lost.
  void Crash();
  /// Starts a new incarnation with the initial weights.
  void Restart();
  bool running() const;

  /// Makes the next Activate fail after half of the shards.
  void FailNextActivation();
  /// Takes effect from the next step.
  void SetStepTime(const StepTimeOptions& step_time);

  Incarnation incarnation() const;
  const TruthLog& truth() const;
  const EngineCounts& counts() const;
  /// Current state, without the lag; for checkers and tests.
  EngineReport CurrentReport() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace millstair
