#include "cluster/source_selector.h"

#include <vector>

namespace millstair {
namespace {

std::optional<ControlEndpoint> EndpointOf(const Configuration& configuration, const NodeId& node) {
  const auto found = configuration.nodes.find(node);
  if (found == configuration.nodes.end()) return std::nullopt;
  return ControlEndpoint{node, found->second.address, found->second.zone};
}

}  // namespace

std::optional<ControlEndpoint> SourceSelector::RedirectTargetFor(const ForwardedNode& node) {
  const auto chosen = node.relays ? ForRelay(node.record) : ForNode(node.record);
  if (!chosen || chosen->node == self_ || chosen->node == node.record.node) return std::nullopt;
  return chosen;
}

void SourceSelector::Refresh() {
  if (cluster_.nodes_changed_at() == refreshed_at_) return;
  refreshed_at_ = cluster_.nodes_changed_at();
  std::map<Zone, std::vector<NodeId>> live;
  for (const auto& [node, record] : cluster_.configuration().nodes) {
    if (record.control && record.state == MemberState::kLive) live[record.zone].push_back(node);
  }
  by_zone_.clear();
  for (const auto& [zone, nodes] : live) by_zone_.emplace(zone, RendezvousNodes(nodes));
}

std::optional<ControlEndpoint> SourceSelector::ForNode(const NodeRecord& node) {
  Refresh();
  const auto zone = by_zone_.find(node.zone);
  if (zone == by_zone_.end()) return std::nullopt;
  return EndpointOf(cluster_.configuration(), zone->second.Choose(node.node.value(), 1).front());
}

std::optional<ControlEndpoint> SourceSelector::ForRelay(const NodeRecord& relay) const {
  if (!cluster_.UsesReplica() || cluster_.group() == nullptr) return std::nullopt;
  const Configuration& configuration = cluster_.configuration();
  std::vector<NodeId> near;
  std::vector<NodeId> all;
  for (const GroupMember& member : cluster_.group()->Members()) {
    const auto record = configuration.nodes.find(member.node);
    const bool live =
        record != configuration.nodes.end() && record->second.state == MemberState::kLive;
    if (!live) continue;
    all.push_back(member.node);
    if (record->second.zone == relay.zone) near.push_back(member.node);
  }
  const auto chosen = RendezvousChoice(relay.node.value(), near.empty() ? all : near, 1);
  return chosen.empty() ? std::nullopt : EndpointOf(configuration, chosen.front());
}

}  // namespace millstair
