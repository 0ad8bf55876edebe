/// What a control node heard of other nodes, and which of it is to be passed on to the leader.
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
  /// `takeover_after`: a life that was not heard for this long gives way to whichever one is.
  explicit NodeTable(Duration takeover_after) : takeover_after_(takeover_after) {}

  /// Notes a heartbeat. A life that began later takes the place of the one held at once; one that
  /// began older does once the one held is unresponsive, since the times of their starts are those
  /// of a clock that may have jumped in between. Until then its heartbeats count as held up on the
  /// way.
  void Record(const ForwardedNode& node, TimePoint now);
  /// Forgets `node`.
  void Erase(const NodeId& node) { nodes_.erase(node); }
  const std::map<NodeId, NodeLiveness>& nodes() const { return nodes_; }
  /// Null if `node` was not heard since `since`.
  const NodeLiveness* FindSince(const NodeId& node, TimePoint since) const;

 private:
  const Duration takeover_after_;
  std::map<NodeId, NodeLiveness> nodes_;
};

}  // namespace millstair
