/// Operators' routes for the members of the cluster group: POST /v1/replicas, DELETE
/// /v1/replicas/{node}. Only the leader changes members; another control node responds with the
/// leader's name, so that the caller can turn to it.
#pragma once

#include "cluster/cluster_replica.h"
#include "cluster/operators_answer.h"

namespace millstair {

class ReplicaRoutes {
 public:
  explicit ReplicaRoutes(ClusterReplica& cluster) : cluster_(cluster) {}

  /// Body {"node","address","replica"}: adds a learner.
  void Add(const HttpRequest& request, const SharedWriter& writer);
  /// Removes the replica of `node`. A node that still runs joins again by itself.
  void Remove(const NodeId& node, const SharedWriter& writer);

 private:
  /// Whether this node leads; otherwise responds with the leader.
  bool Leads(const SharedWriter& writer) const;

  ClusterReplica& cluster_;
};

}  // namespace millstair
