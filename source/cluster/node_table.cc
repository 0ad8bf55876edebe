#include "cluster/node_table.h"

namespace millstair {

void NodeTable::Record(const ForwardedNode& node, TimePoint now) {
  NodeLiveness& liveness = nodes_[node.record.node];
  const bool older = node.record.incarnation < liveness.latest.record.incarnation;
  if (older && now - liveness.last_seen <= takeover_after_) return;
  const bool same_incarnation = node.record.incarnation == liveness.latest.record.incarnation;
  const ReplicaId known_replica = liveness.latest.replica;
  liveness.latest = node;
  // The gateway part of a process sends heartbeats without the identity of the disk.
  if (same_incarnation && node.replica == ReplicaId()) liveness.latest.replica = known_replica;
  liveness.last_seen = now;
}

const NodeLiveness* NodeTable::FindSince(const NodeId& node, TimePoint since) const {
  const auto found = nodes_.find(node);
  if (found == nodes_.end() || found->second.last_seen < since) return nullptr;
  return &found->second;
}

}  // namespace millstair
