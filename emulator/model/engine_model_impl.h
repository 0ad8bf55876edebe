/// Implementation of EngineModel: drives batching, memory, weights and reports by timers and
/// callbacks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/model/batch_scheduler.h"
#include "emulator/model/cache_event_log.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/kv_cache.h"
#include "emulator/model/report_history.h"
#include "emulator/model/weight_state.h"

namespace millstair {

class EngineModel::Impl : public std::enable_shared_from_this<EngineModel::Impl> {
 public:
  using OrderDone = std::function<void(absl::Status)>;

  Impl(Environment& environment, EngineModelOptions options, EngineModelLinks links);

  GenerationId Generate(GenerateRequest request, GenerateObserver& observer);
  void Cancel(GenerationId id);
  void ApplyOrder(const EngineOrder& order, OrderDone done);
  absl::StatusOr<EngineReport> Report() const;
  absl::StatusOr<CacheEvents> CacheEventsAfter(uint64_t after, bool resync) const;
  absl::StatusOr<KvExport> ExportKv(const std::vector<BlockHash>& blocks) const;
  absl::Status ImportKv(const KvExport& exported);
  void SetDraining(bool draining);
  void Crash();
  void Restart();
  /// Called when the owner is destroyed: no callback runs afterwards.
  void Close();
  EngineReport CurrentReport() const;

  bool draining() const { return draining_; }
  bool Idle() const { return open_.empty(); }
  bool running() const { return running_; }
  void FailNextActivation() { fail_next_activation_ = true; }
  void SetStepTime(const StepTimeOptions& step_time) { options_.step_time = step_time; }
  Incarnation incarnation() const { return incarnation_; }
  const TruthLog& truth() const { return truth_; }
  const EngineCounts& counts() const { return counts_; }

 private:
  /// A generation that has not ended.
  struct Open {
    GenerateObserver* observer = nullptr;
    std::string request_id;
    bool accepted = false;
    bool chunk_sent = false;
  };
  using OrderId = uint64_t;
  /// A weight fetch in progress and the orders that wait for it.
  struct Fetch {
    WeightsId weights;
    std::vector<OrderId> orders;
  };
  /// State that is lost in a crash.
  struct Memory {
    Memory(Environment& environment, const EngineModelOptions& options, EngineCounts& counts);
    CacheEventLog cache_events;
    KvCache cache;
    BatchScheduler batch;
    WeightState weights;
    std::vector<Fetch> fetches;
    std::optional<OrderId> swap_order;
  };

  /// Runs `callback` after `delay` unless the engine has crashed or been destroyed by then.
  void After(Duration delay, std::function<void()> callback);

  // Generations (engine_generate.cc).
  std::optional<std::string> ReasonToRefuse(const GenerateRequest& request) const;
  std::unique_ptr<Sequence> MakeSequence(SequenceId id, const GenerateRequest& request) const;
  void Refuse(SequenceId id, CallFailure failure, std::string reason);
  void FetchKvThenAdd(std::unique_ptr<Sequence> sequence, const std::string& source);
  void AddToBatch(std::unique_ptr<Sequence> sequence);
  void EnsureTick();
  void StartTick();
  void FinishTick();
  /// Sends the chunks of `ids`; false if a callback ended this incarnation of the engine.
  bool Send(const std::vector<SequenceId>& ids);
  GenerateChunk MakeChunk(Sequence& sequence);

  // Orders (engine_orders.cc).
  OrderId OpenOrder(OrderDone done);
  void CloseOrder(OrderId id, absl::Status status);
  void CloseOrderLater(OrderId id, absl::Status status);
  void Stage(const EngineOrder& order, OrderId id);
  void FinishFetch(const WeightsId& weights, absl::StatusOr<WeightDigest> fetched);
  void Activate(const EngineOrder& order, OrderId id);
  void BeginSwap();
  void EndSwap(bool failed);
  void Unload(const EngineOrder& order);
  void LoadAdapter(const EngineOrder& order, OrderId id);
  void FetchWeights(const std::string& location,
                    std::function<void(absl::StatusOr<WeightDigest>)> done);

  // Reports (engine_model.cc).
  LoadFigures Figures() const;
  void RecordFigures();
  void RecordState();

  Environment& environment_;
  EngineModelOptions options_;
  EngineModelLinks links_;
  TruthLog truth_;
  EngineCounts counts_;
  std::unique_ptr<Memory> memory_;
  ReportHistory history_;
  std::shared_ptr<const EngineReport> state_;

  Incarnation incarnation_;
  /// Incremented at each crash and by Close; callbacks scheduled before that do nothing.
  uint64_t epoch_ = 1;
  bool running_ = true;
  bool draining_ = false;
  bool fail_next_activation_ = false;

  SequenceId next_id_ = 1;
  std::map<SequenceId, Open> open_;
  OrderId next_order_ = 1;
  std::map<OrderId, OrderDone> orders_;

  StepPlan plan_;
  /// A run of steps is in progress, a start is scheduled, or chunks are being sent.
  bool tick_busy_ = false;
  Duration smoothed_step_{0};
  /// Blocks evicted in earlier incarnations.
  uint64_t evicted_earlier_ = 0;
};

}  // namespace millstair
