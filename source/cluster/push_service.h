/// Sends configuration changes to the nodes attached to this control node as soon as they are
/// applied here. Each delta is encoded once for all nodes that start from the same revision.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cluster/cluster_replica.h"
#include "cluster/control_messages.h"
#include "cluster/source_selector.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"

namespace millstair {

class PushService {
 public:
  PushService(Environment& environment, PeerTransport& transport, const ClusterReplica& cluster,
              SourceSelector& source_selector);

  /// Attaches the sender of `heartbeat`.
  void Attach(const NodeHeartbeat& heartbeat);
  /// Schedules a push; a burst of changes is sent as one.
  void ConfigurationChanged();
  /// Encoded changes up to the newest revision for a node that holds `from`, recorded as sent to
  /// it. Leaves out changes that are already in flight: messages to one node arrive in order.
  const std::string& ChangesFor(const NodeId& node, Revision from);

 private:
  struct Attached {
    /// The newest revision sent to the node or held by it.
    Revision sent;
    /// What was sent by `checkpoint_at`; a node that does not hold it by the next checkpoint has
    /// lost it.
    Revision checkpoint;
    TimePoint checkpoint_at;
    TimePoint last_heartbeat;
    /// Set for a node that may be redirected to another control node.
    std::optional<ForwardedNode> redirectable;
  };

  void Push();
  /// Detaches nodes without recent heartbeats, and those that are to use another control node: they
  /// are redirected with their next heartbeat and get the changes there. Without this, the control
  /// nodes known to all nodes of a starting fleet would send the complete configuration to each.
  void DetachMoved();
  const std::string& EncodedSince(Revision from);

  Environment& environment_;
  PeerTransport& transport_;
  const ClusterReplica& cluster_;
  SourceSelector& source_selector_;
  std::map<NodeId, Attached> attached_;
  /// Encoded deltas up to `cached_revision_`, by the revision they start from.
  std::map<Revision, std::string> cache_;
  Revision cached_revision_;
  TimePoint next_push_at_;
  ScopedTimer timer_;
};

}  // namespace millstair
