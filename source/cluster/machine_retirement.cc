#include "cluster/machine_retirement.h"

#include <algorithm>

namespace millstair {
namespace {

bool HoldsReplicas(const NodeRecord& record) { return record.control || record.storage; }

/// Live nodes with the role that remain without `machine`.
size_t CountLeft(const Configuration& configuration, const std::string& machine,
                 bool NodeRecord::*role) {
  size_t left = 0;
  for (const auto& [node, record] : configuration.nodes) {
    const bool stays = record.state == MemberState::kLive && record.machine != machine &&
                       !configuration.retired_nodes.contains(node);
    if (stays && record.*role) ++left;
  }
  return left;
}

bool HasRole(const Configuration& configuration, const std::vector<NodeId>& nodes,
             bool NodeRecord::*role) {
  return std::any_of(nodes.begin(), nodes.end(),
                     [&](const NodeId& node) { return configuration.nodes.at(node).*role; });
}

}  // namespace

std::vector<NodeId> ReplicaNodesOf(const Configuration& configuration, const std::string& machine) {
  std::vector<NodeId> nodes;
  for (const auto& [node, record] : configuration.nodes) {
    if (HoldsReplicas(record) && record.machine == machine) nodes.push_back(node);
  }
  return nodes;
}

absl::Status CheckRetirable(const Configuration& configuration, const std::string& machine,
                            const MinReplicaNodes& min_nodes) {
  const std::vector<NodeId> nodes = ReplicaNodesOf(configuration, machine);
  if (!HasRole(configuration, nodes, &NodeRecord::storage)) {
    return absl::NotFoundError("no such storage machine");
  }
  const bool retired = std::all_of(nodes.begin(), nodes.end(), [&](const NodeId& node) {
    return configuration.retired_nodes.contains(node);
  });
  if (retired) return absl::OkStatus();
  if (CountLeft(configuration, machine, &NodeRecord::storage) < min_nodes.storage) {
    return absl::FailedPreconditionError("too few storage nodes would be left");
  }
  const bool controls = HasRole(configuration, nodes, &NodeRecord::control);
  if (controls && CountLeft(configuration, machine, &NodeRecord::control) < min_nodes.control) {
    return absl::FailedPreconditionError("too few control nodes would be left");
  }
  return absl::OkStatus();
}

std::optional<bool> IsMachineEmptied(const Configuration& configuration,
                                     const std::string& machine) {
  const std::vector<NodeId> nodes = ReplicaNodesOf(configuration, machine);
  if (nodes.empty()) return std::nullopt;
  bool emptied = true;
  for (const NodeId& node : nodes) {
    const auto retired = configuration.retired_nodes.find(node);
    if (retired == configuration.retired_nodes.end()) return std::nullopt;
    emptied = emptied && retired->second.emptied;
  }
  return emptied;
}

}  // namespace millstair
