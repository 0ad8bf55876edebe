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

/// Label of an engine that states its wanted role; absent is no role.
inline constexpr char kRoleLabel[] = "role";

/// The matching of one revision, worked out once. Value type; engines are sorted by name.
class PlacementRules {
 public:
  PlacementRules() = default;
  explicit PlacementRules(const Configuration& configuration);

  /// Revision that the rules were worked out for.
  Revision revision() const { return revision_; }
  /// Model engines that are to hold `model`.
  const std::vector<EngineName>& EnginesForModel(const ModelName& model) const;
  /// Back ends that serve `workload` (a Pool or a TrafficGroup). For a workload with a model these
  /// are model engines that hold it; for one without, plain HTTP back ends.
  const std::vector<EngineName>& EnginesForWorkload(const ResourceKey& workload) const;
  /// Models that `engine` is to hold.
  const std::vector<ModelName>& ModelsForEngine(const EngineName& engine) const;

 private:
  Revision revision_;
  std::map<ModelName, std::vector<EngineName>> by_model_;
  std::map<ResourceKey, std::vector<EngineName>> by_workload_;
  std::map<EngineName, std::vector<ModelName>> by_engine_;
};

/// Keeps the rules of the newest revision asked for.
class PlacementRulesCache {
 public:
  /// Rules for `configuration`; worked out anew only if its revision changed.
  const PlacementRules& For(const Configuration& configuration);

 private:
  bool filled_ = false;
  PlacementRules rules_;
};

}  // namespace millstair
