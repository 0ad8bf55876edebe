/// Tells nodes that cannot find the cluster where its leader is. A node that starts knows only the
/// control nodes of its settings, and none of these may hold a replica any more. The leader knows
/// every node from the committed configuration, and sends those that it does not hear from its own
/// address.
#pragma once

#include <map>

#include "cluster/configuration.h"
#include "cluster/configuration_client.h"
#include "cluster/node_table.h"
#include "common/environment.h"
#include "common/peer_transport.h"

namespace millstair {

/// A node without a heartbeat at the leader for this long is invited. Longer than the interval at
/// which other control nodes forward the heartbeats that they receive.
inline constexpr Duration kInvitationDelay = std::chrono::seconds(2);

/// Runs on the leader of the cluster group. Lives on the node's serial executor.
class NodeInviter {
 public:
  NodeInviter(Environment& environment, PeerTransport& transport, ControlEndpoint self);

  /// Invites a bounded number of the nodes that are not in `heard` since `kInvitationDelay` ago,
  /// control nodes first, since these serve the others once they have found the leader.
  void Run(const Configuration& configuration, const NodeTable& heard);
  /// Forgets whom it invited.
  void Reset() { invited_.clear(); }

 private:
  struct Invited {
    TimePoint next_at;
    /// Time between the last two invitations. Doubles, because most nodes without a heartbeat are
    /// down.
    Duration pause{0};
  };

  bool IsDue(const NodeRecord& node, const NodeTable& heard);
  void Invite(const NodeRecord& node);

  Environment& environment_;
  PeerTransport& transport_;
  const ControlEndpoint self_;
  std::map<NodeId, Invited> invited_;
};

}  // namespace millstair
