/// Starts and ends zone evacuations for operators. An order goes to the leader of the cluster group
/// once every live node has reported that it supports evacuations.
#pragma once

#include <functional>

#include "cluster/cluster_replica.h"
#include "cluster/cluster_submitter.h"
#include "common/alive_flag.h"

namespace millstair {

/// Lives on the node's serial executor.
class ZoneEvacuation {
 public:
  using Done = std::function<void(absl::StatusOr<ClusterResult>)>;

  explicit ZoneEvacuation(ClusterSubmitter& submitter) : submitter_(submitter) {}

  /// Idempotent. NotFound for a zone without nodes, back ends or machines; Unavailable if the
  /// outcome is unknown or a live node does not support evacuations.
  void Submit(const EvacuateZone& order, Done done);

 private:
  void SubmitIfSupported(const EvacuateZone& order, const absl::StatusOr<std::string>& answer,
                         Done done);

  ClusterSubmitter& submitter_;
  AliveFlag alive_;
};

}  // namespace millstair
