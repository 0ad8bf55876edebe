/// Nodes that a node without a replica of a job group calls, in order of preference.
#pragma once

#include <vector>

#include "cluster/configuration.h"
#include "common/ids.h"

namespace millstair {

/// For changes: the leader, then the other replicas, then every other storage node, which replies
/// with the leader if it knows one. Empty until the group is bootstrapped.
std::vector<NodeId> JobNodesForChanges(const Configuration& configuration, const GroupId& group,
                                       const Zone& own);

/// For reads: the replicas of the own zone, then the others with the leader last, since it has the
/// most load, then every other storage node. Empty until the group is bootstrapped.
std::vector<NodeId> JobNodesForReads(const Configuration& configuration, const GroupId& group,
                                     const Zone& own);

/// The leader according to the configuration; empty if unknown.
NodeId PlacedLeader(const Configuration& configuration, const GroupId& group);

}  // namespace millstair
