/// Weights, adapters and role that an engine model holds, and the rules by which orders change
/// them. No time passes here: the engine model calls it when fetches and swaps end.
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

/// One set of weights.
struct WeightsId {
  ModelName model;
  WeightVersion version;
  WeightDigest digest;
  friend bool operator==(const WeightsId&, const WeightsId&) = default;
};

class WeightState {
 public:
  WeightState(const InitialWeights& initial, std::string role, uint32_t max_staged);

  /// Refuses a fence smaller than the largest one seen; else notes it. FailedPrecondition.
  absl::Status AcceptFence(Revision fence);

  /// Whether the weights are held, staged or active.
  bool Holds(const WeightsId& weights) const;
  bool IsActive(const WeightsId& weights) const;
  /// Fails if other bytes are known under the same model and version. FailedPrecondition.
  absl::Status CheckStage(const WeightsId& weights) const;
  void AddStaged(WeightsId weights);
  void Unload(const ModelName& model, WeightVersion version);

  /// Begins a swap to staged weights. FailedPrecondition if they are not staged or a swap is under
  /// way; DataLoss if the staged bytes have another digest. An empty digest fits all.
  absl::Status BeginSwap(const WeightsId& weights);
  /// All shards hold the new weights.
  void FinishSwap();
  /// Some shards hold the new weights and the others the old.
  void FailSwap();

  void AddAdapter(const std::string& name) { adapters_.insert(name); }
  void RemoveAdapter(const std::string& name) { adapters_.erase(name); }
  bool HasAdapter(const std::string& name) const { return adapters_.contains(name); }
  void SetRole(std::string role) { role_ = std::move(role); }

  /// What the engine says that it serves. While mixed: the version it was to swap to, with a mixed
  /// digest.
  const WeightsId& active() const { return active_; }
  /// Version whose tokens come out; a mixed version while the shards differ.
  WeightVersion generating_version() const;
  ShardState shards() const { return shards_; }
  bool swapping() const { return shards_ == ShardState::kSwapping; }
  bool mixed() const { return mixed_; }

  /// Puts the weights, shards, fence and role into `report`.
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
