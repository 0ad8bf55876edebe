/// Emptying a machine for good: which of its nodes hold replicas, whether enough others are left,
/// and whether all of them are emptied. The managers of the groups move the replicas.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cluster/configuration.h"

namespace millstair {

/// How many replicas of each kind have to be left.
struct MinReplicaNodes {
  size_t control = 0;
  size_t storage = 0;
};

/// The nodes on `machine` that hold replicas, or did.
std::vector<NodeId> ReplicaNodesOf(const Configuration& configuration, const std::string& machine);

/// NotFound if no storage node is on `machine`; FailedPrecondition if too few control or storage
/// nodes would be left. A machine that is being emptied already may be.
absl::Status CheckRetirable(const Configuration& configuration, const std::string& machine,
                            const MinReplicaNodes& min_nodes);

/// Whether no node on `machine` holds a replica any more; nothing if it is not being emptied.
std::optional<bool> IsMachineEmptied(const Configuration& configuration,
                                     const std::string& machine);

}  // namespace millstair
