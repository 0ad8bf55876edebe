/// Which nodes a node without a replica of a job group turns to, and in which order.
#pragma once

#include <vector>

#include "cluster/configuration.h"
#include "common/ids.h"

namespace millstair {

/// For changes: the leader, then the other replicas, then every other storage node, which tells who
/// leads if it knows better. Empty while the group is not founded.
std::vector<NodeId> JobNodesForChanges(const Configuration& configuration, const GroupId& group,
                                       const Zone& own);

/// For reads: the replicas of the own zone, then the others with the leader last, since it has the
/// most to do, then every other storage node. Empty while the group is not founded.
std::vector<NodeId> JobNodesForReads(const Configuration& configuration, const GroupId& group,
                                     const Zone& own);

/// The leader as the configuration tells; empty if it tells of none.
NodeId PlacedLeader(const Configuration& configuration, const GroupId& group);

}  // namespace millstair
