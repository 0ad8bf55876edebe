/// Selects the control node that a node uses, to spread the load: gateways and storage nodes use
/// one of their zone, control nodes without a replica one that has a replica.
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
  /// `self`: this control node.
  SourceSelector(const ClusterReplica& cluster, NodeId self)
      : cluster_(cluster), self_(std::move(self)) {}

  /// The control node that `node` is to use in place of this one; nullopt if this one is right, or
  /// no other is known.
  std::optional<ControlEndpoint> RedirectTargetFor(const ForwardedNode& node);

 private:
  /// For a gateway or a storage node; nullopt if its zone has no known live control node.
  std::optional<ControlEndpoint> ForNode(const NodeRecord& node);
  /// For a control node without a replica; nullopt if this node has no replica itself.
  std::optional<ControlEndpoint> ForRelay(const NodeRecord& relay) const;
  void Refresh();

  const ClusterReplica& cluster_;
  const NodeId self_;
  /// Live control nodes by zone, as of `refreshed_at_`.
  std::map<Zone, RendezvousNodes> by_zone_;
  Revision refreshed_at_;
};

}  // namespace millstair
