/// Which control node a node is to use, so that no control node is used by many: gateways and
/// storage nodes use one of their zone, control nodes without a replica one that has a replica.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "cluster/cluster_replica.h"
#include "cluster/control_messages.h"
#include "common/rendezvous.h"

namespace millstair {

/// Lives on the node's serial executor.
class SourceSelector {
 public:
  /// `self`: the control node that answers.
  SourceSelector(const ClusterReplica& cluster, NodeId self)
      : cluster_(cluster), self_(std::move(self)) {}

  /// The one that a node is to use in place of this one; none if this one is right, or none is
  /// known.
  std::optional<ControlEndpoint> RedirectTargetFor(const ForwardedNode& node);

 private:
  /// For a gateway or a storage node; none if its zone has no live control node that is known.
  std::optional<ControlEndpoint> ForNode(const NodeRecord& node);
  /// For a control node without a replica; none if this node has no replica itself.
  std::optional<ControlEndpoint> ForRelay(const NodeRecord& relay) const;
  void Refresh();

  const ClusterReplica& cluster_;
  const NodeId self_;
  /// Live control nodes by zone, as of `refreshed_at_`.
  std::map<Zone, RendezvousNodes> by_zone_;
  Revision refreshed_at_;
};

}  // namespace millstair
