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
  /// Notes a heartbeat. An earlier life of a node does not replace a later one.
  void Hear(const ForwardedNode& node, TimePoint now);
  /// Forgets `node`.
  void Erase(const NodeId& node) { nodes_.erase(node); }
  const std::map<NodeId, HeardNode>& nodes() const { return nodes_; }
  /// Null if `node` was not heard since `since`.
  const HeardNode* FindSince(const NodeId& node, TimePoint since) const;

 private:
  std::map<NodeId, HeardNode> nodes_;
};

}  // namespace millstair
