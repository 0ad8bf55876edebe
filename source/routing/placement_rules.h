/// Which engines hold which models and serve which workloads, by the labels and selectors of the
/// Match resources.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cluster/configuration.h"
#include "common/ids.h"
#include "resources/resource.h"

namespace millstair {

/// Labels of an engine: its machine's, overridden by its own. Unknown engines have none.
Labels EngineLabels(const Configuration& configuration, const EngineName& engine);

/// Label of an engine that states its desired role; absent means no role.
inline constexpr char kRoleLabel[] = "role";

/// The matching of one revision. Value type; engines are sorted by name.
class PlacementRules {
 public:
  PlacementRules() = default;
  explicit PlacementRules(const Configuration& configuration);

  Revision revision() const { return revision_; }
  /// Model engines that should hold `model`.
  const std::vector<EngineName>& EnginesForModel(const ModelName& model) const;
  /// Back ends that serve `workload` (a Pool or a TrafficGroup). For a workload with a model these
  /// are model engines that hold it; for one without, plain HTTP back ends.
  const std::vector<EngineName>& EnginesForWorkload(const ResourceKey& workload) const;
  /// Models that `engine` should hold.
  const std::vector<ModelName>& ModelsForEngine(const EngineName& engine) const;

 private:
  Revision revision_;
  std::map<ModelName, std::vector<EngineName>> by_model_;
  std::map<ResourceKey, std::vector<EngineName>> by_workload_;
  std::map<EngineName, std::vector<ModelName>> by_engine_;
};

/// Caches the rules of the last revision requested.
class PlacementRulesCache {
 public:
  /// Rules for `configuration`; recomputed only if its revision changed.
  const PlacementRules& For(const Configuration& configuration);

 private:
  bool filled_ = false;
  PlacementRules rules_;
};

}  // namespace millstair
