/// Operators' routes for requests under which back ends ended: GET /v1/suspects lists them, DELETE
/// /v1/suspects/{fingerprint} lifts what is held against one.
#pragma once

#include "cluster/cluster_replica.h"
#include "cluster/cluster_submitter.h"
#include "cluster/operators_answer.h"

namespace millstair {

class SuspectRoutes {
 public:
  SuspectRoutes(ClusterReplica& cluster, ClusterSubmitter& submitter)
      : cluster_(cluster), submitter_(submitter) {}

  /// As this control node knows them; may be a moment behind.
  void List(const SharedWriter& writer) const;
  /// A request that crashes back ends will be held again after two more crashes.
  void Clear(const RequestFingerprint& request, const SharedWriter& writer);

 private:
  ClusterReplica& cluster_;
  ClusterSubmitter& submitter_;
};

}  // namespace millstair
