#include "cluster/node_table.h"

namespace millstair {

void NodeTable::Hear(const ForwardedNode& node, TimePoint now) {
  HeardNode& heard = nodes_[node.record.node];
  const bool earlier = node.record.incarnation < heard.latest.record.incarnation;
  if (earlier && now - heard.heard <= life_silence_) return;
  const bool same_life = node.record.incarnation == heard.latest.record.incarnation;
  const ReplicaId known_replica = heard.latest.replica;
  heard.latest = node;
  // The gateway part of a process beats without the identity of the disk.
  if (same_life && node.replica == ReplicaId()) heard.latest.replica = known_replica;
  heard.heard = now;
}

const HeardNode* NodeTable::FindSince(const NodeId& node, TimePoint since) const {
  const auto found = nodes_.find(node);
  if (found == nodes_.end() || found->second.heard < since) return nullptr;
  return &found->second;
}

}  // namespace millstair
