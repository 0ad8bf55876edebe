#include "jobs/job_group_nodes.h"

#include <algorithm>

namespace millstair {
namespace {

/// Properties of a node that determine its rank.
struct JobNode {
  NodeId node;
  bool near = false;
  bool replica = false;
  bool leader = false;
};

std::vector<JobNode> JobNodesOf(const Configuration& configuration, const GroupId& group,
                                const Zone& own) {
  const auto found = configuration.job_groups.find(group);
  if (found == configuration.job_groups.end()) return {};
  const JobGroupPlacement& placement = found->second.placement;
  const bool placed = !placement.members.empty();
  const auto& members = placed ? placement.members : found->second.initial_members;
  std::vector<JobNode> nodes;
  for (const auto& [node, record] : configuration.nodes) {
    if (!record.storage || record.state == MemberState::kGone) continue;
    const bool replica = IndexOf(members, node).has_value();
    nodes.push_back({node, record.zone == own, replica, node == placement.leader});
  }
  return nodes;
}

int RankForChanges(const JobNode& node) {
  if (node.leader) return 0;
  if (node.replica) return node.near ? 1 : 2;
  return node.near ? 3 : 4;
}

int RankForReads(const JobNode& node) {
  if (node.replica && node.near) return 0;
  if (node.replica) return node.leader ? 2 : 1;
  return node.near ? 3 : 4;
}

std::vector<NodeId> InOrder(std::vector<JobNode> nodes, int (*rank)(const JobNode&)) {
  std::stable_sort(nodes.begin(), nodes.end(),
                   [rank](const JobNode& a, const JobNode& b) { return rank(a) < rank(b); });
  std::vector<NodeId> names;
  for (const JobNode& node : nodes) names.push_back(node.node);
  return names;
}

}  // namespace

std::vector<NodeId> JobNodesForChanges(const Configuration& configuration, const GroupId& group,
                                       const Zone& own) {
  return InOrder(JobNodesOf(configuration, group, own), RankForChanges);
}

std::vector<NodeId> JobNodesForReads(const Configuration& configuration, const GroupId& group,
                                     const Zone& own) {
  return InOrder(JobNodesOf(configuration, group, own), RankForReads);
}

NodeId PlacedLeader(const Configuration& configuration, const GroupId& group) {
  const auto found = configuration.job_groups.find(group);
  return found == configuration.job_groups.end() ? NodeId() : found->second.placement.leader;
}

}  // namespace millstair
