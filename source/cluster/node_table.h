/// The latest heartbeat of each node as received by a control node, and which of them to forward to
/// the leader.
#pragma once

#include <map>
#include <vector>

#include "cluster/control_messages.h"
#include "common/time.h"

namespace millstair {

struct NodeLiveness {
  ForwardedNode latest;
  TimePoint last_seen;
};

/// Lives on the node's serial executor.
class NodeTable {
 public:
  /// `takeover_after`: an incarnation without a heartbeat for this long is replaced by any other
  /// that sends one.
  explicit NodeTable(Duration takeover_after) : takeover_after_(takeover_after) {}

  /// Records a heartbeat. A newer incarnation replaces the recorded one at once. An older one does
  /// so only once the recorded one is unresponsive: incarnations come from a clock that may have
  /// been set back. Until then its heartbeats count as delayed messages and are ignored.
  void Record(const ForwardedNode& node, TimePoint now);
  void Erase(const NodeId& node) { nodes_.erase(node); }
  const std::map<NodeId, NodeLiveness>& nodes() const { return nodes_; }
  /// Null if there was no heartbeat of `node` since `since`.
  const NodeLiveness* FindSince(const NodeId& node, TimePoint since) const;

 private:
  const Duration takeover_after_;
  std::map<NodeId, NodeLiveness> nodes_;
};

}  // namespace millstair
