/// Computes the target state of an engine from a configuration, and the next weight order towards
/// it. Pure functions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "engine/engine_types.h"
#include "routing/placement_rules.h"

namespace millstair {

/// Target state of one engine.
struct EngineTarget {
  ModelName model;
  /// Version to stage, and version to serve; version 0 if none.
  PublishedVersion staged;
  PublishedVersion active;
  /// Role; nullopt leaves it unchanged.
  std::optional<std::string> role;
  /// Adapters of the model, with the revision of their resources.
  struct Adapter {
    std::string location;
    WeightDigest digest;
    Revision version;
  };
  std::map<std::string, Adapter> adapters;
  /// Newest revision that the target depends on. Sent as the fence of every order to the engine, so
  /// that an observer with an older configuration can't undo the orders of one with a newer
  /// configuration.
  Revision fence;
};

/// Returns nullopt if no model is assigned to the engine. `reported_model` is retained if it is
/// among the assigned ones.
std::optional<EngineTarget> EngineTargetFor(const Configuration& configuration,
                                            const PlacementRules& rules, const EngineName& engine,
                                            const ModelName& reported_model);

/// Whether the shards of the engine hold different weights, or a digest that was not published for
/// its version. The engine must not be given work.
bool HasUncertainWeights(const Configuration& configuration, const EngineReport& report);

/// Next weight order; nullopt if the weights match the target. Staging goes first.
std::optional<EngineOrder> NextWeightOrder(const EngineTarget& target, const EngineReport& report);

/// Position of `engine`, from 0, in the order in which the engines of a model swap to `version`.
uint32_t SwapPosition(const std::vector<EngineName>& engines, const EngineName& engine,
                      WeightVersion version);

/// How many of `engines` may swap at once so that the fraction `floor` of them keeps serving; at
/// least 1.
uint32_t MaxConcurrentSwaps(uint32_t engines, double floor);

}  // namespace millstair
