/// Operators' orders that the back ends of a zone get nothing, and that this is over. Sent to the
/// leader of the cluster group once every live node has said that it reads and obeys them.
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

  /// May be sent again. NotFound for a zone in which nothing is known; Unavailable while the
  /// outcome is not known, or while a node is live that would not obey.
  void Submit(const EvacuateZone& order, Done done);

 private:
  void SubmitIfSupported(const EvacuateZone& order, const absl::StatusOr<std::string>& answer,
                         Done done);

  ClusterSubmitter& submitter_;
  AliveFlag alive_;
};

}  // namespace millstair
