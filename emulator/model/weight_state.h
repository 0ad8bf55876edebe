/// Weights, adapters and role of an engine model, and the rules by which orders change them. Has no
/// timers: the engine model calls it when fetches and swaps end.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "emulator/model/engine_options.h"
#include "engine/engine_types.h"

namespace millstair {

/// Identifies one set of weights.
struct WeightsId {
  ModelName model;
  WeightVersion version;
  WeightDigest digest;
  friend bool operator==(const WeightsId&, const WeightsId&) = default;
};

class WeightState {
 public:
  WeightState(const InitialWeights& initial, std::string role, uint32_t max_staged);

  /// Records the fence; FailedPrecondition if it is smaller than the largest one seen.
  absl::Status AcceptFence(Revision fence);

  /// True if the weights are staged or active.
  bool Holds(const WeightsId& weights) const;
  bool IsActive(const WeightsId& weights) const;
  /// FailedPrecondition if the same model and version is held with another digest, or for version
  /// 0.
  absl::Status CheckStage(const WeightsId& weights) const;
  void AddStaged(WeightsId weights);
  void Unload(const ModelName& model, WeightVersion version);

  /// Starts a swap to staged weights. FailedPrecondition if they are not staged or a swap is in
  /// progress; DataLoss if they are staged with another digest. An empty digest matches any.
  absl::Status BeginSwap(const WeightsId& weights);
  /// Called when all shards hold the new weights.
  void FinishSwap();
  /// Called when only some shards hold the new weights.
  void FailSwap();

  void AddAdapter(const std::string& name) { adapters_.insert(name); }
  void RemoveAdapter(const std::string& name) { adapters_.erase(name); }
  bool HasAdapter(const std::string& name) const { return adapters_.contains(name); }
  void SetRole(std::string role) { role_ = std::move(role); }

  /// The weights that the engine reports. While mixed: the target version of the failed swap, with
  /// a mixed digest.
  const WeightsId& active() const { return active_; }
  /// Version of the generated tokens; a mixed version while the shards differ.
  WeightVersion generating_version() const;
  ShardState shards() const { return shards_; }
  bool swapping() const { return shards_ == ShardState::kSwapping; }
  bool mixed() const { return mixed_; }

  /// Sets the weights, shards, fence and role in `report`.
  void Describe(EngineReport& report) const;

 private:
  std::deque<WeightsId>::iterator FindStaged(const ModelName& model, WeightVersion version);

  WeightsId active_;
  /// Oldest first.
  std::deque<WeightsId> staged_;
  WeightsId swap_target_;
  WeightVersion mixed_old_;
  bool mixed_ = false;
  ShardState shards_ = ShardState::kConsistent;
  Revision last_fence_;
  std::set<std::string> adapters_;
  std::string role_;
  uint32_t max_staged_;
};

}  // namespace millstair
