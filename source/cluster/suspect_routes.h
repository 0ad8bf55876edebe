/// Operators' routes for requests during which back ends crashed: GET /v1/suspects lists them,
/// DELETE /v1/suspects/{fingerprint} clears one.
#pragma once

#include "cluster/cluster_replica.h"
#include "cluster/cluster_submitter.h"
#include "cluster/operators_answer.h"

namespace millstair {

class SuspectRoutes {
 public:
  SuspectRoutes(ClusterReplica& cluster, ClusterSubmitter& submitter)
      : cluster_(cluster), submitter_(submitter) {}

  /// From this control node's copy, which may lag behind.
  void List(const SharedWriter& writer) const;
  /// A cleared request that crashes back ends is held again after two more crashes.
  void Clear(const RequestFingerprint& request, const SharedWriter& writer);

 private:
  ClusterReplica& cluster_;
  ClusterSubmitter& submitter_;
};

}  // namespace millstair
