/// What a control node heard of other nodes, and which of it is to be passed on to the leader.
#pragma once

#include <map>
#include <vector>

#include "cluster/control_messages.h"
#include "common/time.h"

namespace millstair {

struct HeardNode {
  ForwardedNode latest;
  TimePoint heard;
};

/// Lives on the node's serial executor.
class NodeTable {
 public:
  /// `life_silence`: a life that was not heard for this long gives way to whichever one is.
  explicit NodeTable(Duration life_silence) : life_silence_(life_silence) {}

  /// Notes a heartbeat. A life that began later takes the place of the one held at once; one that
  /// began earlier does once the one held is silent, since the times of their starts are those of a
  /// clock that may have jumped in between. Until then its heartbeats count as held up on the way.
  void Hear(const ForwardedNode& node, TimePoint now);
  /// Forgets `node`.
  void Erase(const NodeId& node) { nodes_.erase(node); }
  const std::map<NodeId, HeardNode>& nodes() const { return nodes_; }
  /// Null if `node` was not heard since `since`.
  const HeardNode* FindSince(const NodeId& node, TimePoint since) const;

 private:
  const Duration life_silence_;
  std::map<NodeId, HeardNode> nodes_;
};

}  // namespace millstair
