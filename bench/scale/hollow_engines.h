/// Engines without a model behind them, for scale runs: they answer reports and orders like real
/// ones, with the times of a real swap, and generate nothing.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "engine/engine_types.h"

namespace millstair {

struct HollowEngineOptions {
  /// Time of fetching a version from the weight store.
  Duration stage_time = std::chrono::milliseconds(800);
  /// Time of a swap.
  Duration activate_time = std::chrono::milliseconds(300);
  /// Time until an answer comes back.
  Duration answer_delay = std::chrono::milliseconds(1);
  uint32_t max_sequences = 32;
  uint32_t total_kv_blocks = 4096;
};

/// When an engine began to serve a version.
struct HollowActivation {
  std::string address;
  WeightVersion version;
  TimePoint at;
};

/// The engines as one hollow node sees them: each observer holds its own copy of their state, since
/// hollow engines are no processes. Lives on the node's serial executor.
class HollowEngines : public EngineClient {
 public:
  HollowEngines(Environment& environment, HollowEngineOptions options)
      : environment_(environment), options_(options) {}

  std::unique_ptr<CallHandle> Generate(const std::string& address, GenerateRequest request,
                                       GenerateObserver& observer) override;
  void SendOrder(const std::string& address, const EngineOrder& order,
                 std::function<void(absl::Status)> done) override;
  void FetchReport(const std::string& address,
                   std::function<void(absl::StatusOr<EngineReport>)> done) override;
  void FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                        std::function<void(absl::StatusOr<CacheEvents>)> done) override;

  /// Swaps in the order in which they ended.
  const std::vector<HollowActivation>& activations() const { return activations_; }
  /// Reports given out; each is one poll by the node's observers.
  uint64_t reports() const { return reports_; }

 private:
  EngineReport& ReportOf(const std::string& address);
  void Stage(EngineReport& report, const EngineOrder& order);
  void Activate(const std::string& address, EngineReport& report, const EngineOrder& order);
  Duration OrderTime(OrderKind kind) const;
  absl::Status Execute(const std::string& address, const EngineOrder& order);

  Environment& environment_;
  HollowEngineOptions options_;
  AliveFlag alive_;
  std::map<std::string, EngineReport> reports_by_address_;
  std::vector<HollowActivation> activations_;
  uint64_t reports_ = 0;
};

}  // namespace millstair
