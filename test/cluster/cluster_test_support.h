/// Helpers that build commands and resources in the cluster tests.
#pragma once

#include <string>

#include "cluster/cluster_state_machine.h"

namespace millstair {

inline Resource MakeResource(const std::string& name, ResourceSpec spec, Labels labels = {}) {
  Resource resource;
  resource.name = name;
  resource.spec = std::move(spec);
  resource.labels = std::move(labels);
  return resource;
}

inline WallTime AtSecond(int64_t second) { return WallTime(std::chrono::seconds(second)); }

inline PutResources Put(Resource resource, std::optional<Revision> expected = std::nullopt) {
  return {{{std::move(resource), expected}}};
}

/// Applies commands with increasing indexes.
class StateMachineDriver {
 public:
  explicit StateMachineDriver(ClusterLimits limits = {}, ClusterFaults faults = {})
      : state(limits, faults) {}

  ClusterResult Apply(ClusterOperation operation,
                      std::optional<SessionStamp> session = std::nullopt) {
    const ClusterCommand command{std::move(operation), std::move(session), AtSecond(second)};
    index = Next(index);
    return *DecodeResult(state.Apply(index, EncodeCommand(command)));
  }

  ClusterStateMachine state;
  LogIndex index;
  int64_t second = 1'000'000;
};

}  // namespace millstair
