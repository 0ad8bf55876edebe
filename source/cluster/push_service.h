/// Sends configuration changes to the nodes attached to this control node, as soon as they are
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

  /// The sender of `heartbeat` sends its heartbeats here.
  void Attach(const NodeHeartbeat& heartbeat);
  /// The configuration changed; pushes it soon, so that a burst of changes goes as one.
  void ConfigurationChanged();
  /// Encoded changes up to the newest revision here for a node that holds `from`; notes that it
  /// gets them. What is on its way to it already is left out: messages to one node arrive in order.
  const std::string& ChangesFor(const NodeId& node, Revision from);

 private:
  struct Attached {
    /// The newest revision sent to it or held by it.
    Revision sent;
    /// What was sent by `checkpoint_at`; a node that does not hold it by the next mark has lost it.
    Revision checkpoint;
    TimePoint checkpoint_at;
    TimePoint last_heartbeat;
    /// For a node that may be told to use another control node.
    std::optional<ForwardedNode> redirectable;
  };

  void Push();
  /// Drops those that are silent, and those that are to use another control node: they are told so
  /// with their next heartbeat, and get there what they miss. When the nodes of a fleet of 1,135
  /// have become known the three that all of them asked at first sent each the whole list, 57 MB
  /// from the leader in half a second.
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
