/// What an engine is to hold and serve, worked out from one configuration, and the next order that
/// brings it closer. Pure functions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "engine/engine_types.h"
#include "routing/placement_rules.h"

namespace millstair {

/// Wanted state of one engine.
struct EngineTarget {
  ModelName model;
  /// Version to fetch ahead, and version to serve; with version 0, none.
  PublishedVersion staged;
  PublishedVersion active;
  /// Wanted role; none leaves it as it is.
  std::optional<std::string> role;
  /// Adapters of the model, with the revision of their resources.
  struct Adapter {
    std::string location;
    WeightDigest digest;
    Revision version;
  };
  std::map<std::string, Adapter> adapters;
  /// Newest revision that any of this depends on: fence of every order to the engine, so that an
  /// observer that knows less can't undo what one did that knows more.
  Revision fence;
};

/// None if the engine is to hold no model. `reported_model` is kept if it is among the engine's.
std::optional<EngineTarget> EngineTargetFor(const Configuration& configuration,
                                            const PlacementRules& rules, const EngineName& engine,
                                            const ModelName& reported_model);

/// The report contradicts itself or what was published: the engine must not be given work.
bool HasUncertainWeights(const Configuration& configuration, const EngineReport& report);

/// Weight order that is due; none if the weights are as wanted. Staging goes first.
std::optional<EngineOrder> NextWeightOrder(const EngineTarget& target, const EngineReport& report);

/// Place of `engine` in the order in which the engines of a model swap to `version`, from 0.
uint32_t SwapPosition(const std::vector<EngineName>& engines, const EngineName& engine,
                      WeightVersion version);

/// How many of `engines` may swap at once so that `floor` of them go on; at least 1.
uint32_t MaxConcurrentSwaps(uint32_t engines, double floor);

}  // namespace millstair
