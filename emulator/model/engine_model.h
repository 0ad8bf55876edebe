/// Model of a model engine: continuous batching, KV memory with shared prefix blocks, priorities
/// with preemption, fenced orders. No I/O and no clock of its own: it runs on an Environment, in
/// virtual time (simulator) or real time (emulator). All calls and callbacks happen on the
/// environment's serial executor. Callbacks may call back into the model.
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

/// Handle of one generation in one model; 0 is none.
using GenerationId = StrongId<struct GenerationIdTag, uint64_t>;

/// KV blocks handed from one engine to another. Content-addressed: the leading blocks of a text.
struct KvExport {
  Incarnation incarnation;
  ModelName model;
  WeightVersion version;
  std::vector<BlockHash> blocks;
};

/// What an engine needs from outside. An empty function has a default.
struct EngineModelLinks {
  /// Fetches `location` from the weight store and gives the digest of its bytes (empty: unknown).
  /// Default: takes default_fetch_time and succeeds.
  std::function<void(const std::string& location,
                     std::function<void(absl::StatusOr<WeightDigest>)> done)>
      fetch_weights;
  /// Asks the engine at `address` which leading ones of `blocks` it can export. Default: fails, and
  /// the blocks are recomputed.
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

  /// Starts a generation. `observer` hears of it until a finishing chunk, OnFailed, or Cancel;
  /// never from within this call. A refusal comes as OnFailed(kRefused), with `leaving` set while
  /// draining; a crashed engine answers kNotSent.
  GenerationId Generate(GenerateRequest request, GenerateObserver& observer);
  /// Ends a generation; its observer hears no more. No effect on one that has ended.
  void Cancel(GenerationId id);

  /// `done` gets OK; FailedPrecondition for a smaller fence or an impossible order; Aborted for a
  /// swap that failed partway; DataLoss for a digest that does not match; Unavailable when
  /// crashed (also for orders under way in a crash).
  void ApplyOrder(const EngineOrder& order, std::function<void(absl::Status)> done);

  /// State as it was `report_lag` ago. Unavailable when crashed.
  absl::StatusOr<EngineReport> Report() const;
  /// Cache events later than `after` that have become readable; with `resync` the blocks held now.
  absl::StatusOr<CacheEvents> CacheEventsAfter(uint64_t after, bool resync) const;

  /// The leading ones of `blocks` that the cache holds.
  absl::StatusOr<KvExport> ExportKv(const std::vector<BlockHash>& blocks) const;
  /// Takes exported blocks into the cache. FailedPrecondition if they are of other weights.
  absl::Status ImportKv(const KvExport& exported);

  /// Refuses new generations from now on and finishes those under way.
  void Drain();
  /// Takes a drain back.
  void Undrain();
  bool draining() const;
  /// Nothing runs or waits.
  bool Idle() const;

  /// Ends the process: streams fail (kCut, or kUnknown before their first chunk), cache, staged
  /// weights, adapters and fence are lost.
  void Crash();
  /// Starts again with a new incarnation and the initial weights.
  void Restart();
  bool running() const;

  /// The next Activate fails after half of the shards.
  void FailNextActivation();
  /// Changes step times from the next step on.
  void SetStepTime(const StepTimeOptions& step_time);

  Incarnation incarnation() const;
  const TruthLog& truth() const;
  const EngineCounts& counts() const;
  /// State as it is now, without the lag; for checkers and tests.
  EngineReport CurrentReport() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace millstair
