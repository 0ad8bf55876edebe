/// Retirement of a machine: which of its nodes hold replicas, whether enough other nodes remain,
/// and whether all replicas have been moved off. The replica managers of the groups move them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cluster/configuration.h"

namespace millstair {

/// Minimum number of nodes of each kind that must remain.
struct MinReplicaNodes {
  size_t control = 0;
  size_t storage = 0;
};

/// Nodes on `machine` that may hold replicas.
std::vector<NodeId> ReplicaNodesOf(const Configuration& configuration, const std::string& machine);

/// NotFound if `machine` has no storage node; FailedPrecondition if too few control or storage
/// nodes would remain. OK for a machine that is already being retired.
absl::Status CheckRetirable(const Configuration& configuration, const std::string& machine,
                            const MinReplicaNodes& min_nodes);

/// Whether all nodes on `machine` are emptied; nullopt if it is not being retired.
std::optional<bool> IsMachineEmptied(const Configuration& configuration,
                                     const std::string& machine);

}  // namespace millstair
