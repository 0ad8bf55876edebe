#include "jobs/job_group_nodes.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

const GroupId kGroup("jobs/0");

/// Storage nodes "a1", "a2", "b1", "b2" and "c1"; the letter is the zone.
Configuration FiveNodes() {
  Configuration configuration;
  for (const char* name : {"a1", "a2", "b1", "b2", "c1"}) {
    NodeRecord record;
    record.node = NodeId(name);
    record.zone = Zone(std::string(1, name[0]));
    record.storage = true;
    record.replica =
        ReplicaId(static_cast<uint64_t>(name[0]) * 10 + static_cast<uint64_t>(name[1]));
    configuration.nodes[record.node] = record;
  }
  return configuration;
}

GroupMember MemberAt(const char* node) { return {ReplicaId(1), NodeId(node), node, true}; }

std::vector<NodeId> Names(std::initializer_list<const char*> names) {
  std::vector<NodeId> nodes;
  for (const char* name : names) nodes.emplace_back(name);
  return nodes;
}

TEST_CASE("There are no nodes to call before the group is bootstrapped") {
  CHECK(JobNodesForChanges(FiveNodes(), kGroup, Zone("a")).empty());
  CHECK(JobNodesForReads(FiveNodes(), kGroup, Zone("a")).empty());
  CHECK(PlacedLeader(FiveNodes(), kGroup) == NodeId());
}

TEST_CASE("Initial members come first until a leader has reported the placement") {
  Configuration configuration = FiveNodes();
  configuration.job_groups[kGroup] = {kGroup, {MemberAt("b1"), MemberAt("c1")}, {}};
  CHECK(JobNodesForChanges(configuration, kGroup, Zone("c")) ==
        Names({"c1", "b1", "a1", "a2", "b2"}));
}

TEST_CASE("Changes prefer the leader, reads prefer the own zone and use the leader last") {
  Configuration configuration = FiveNodes();
  const JobGroupPlacement placement{
      Term(2), 1, NodeId("b1"), {MemberAt("b1"), MemberAt("a2"), MemberAt("c1")}};
  configuration.job_groups[kGroup] = {kGroup, {MemberAt("b2")}, placement};
  CHECK(JobNodesForChanges(configuration, kGroup, Zone("a")) ==
        Names({"b1", "a2", "c1", "a1", "b2"}));
  CHECK(JobNodesForReads(configuration, kGroup, Zone("a")) ==
        Names({"a2", "c1", "b1", "a1", "b2"}));
  CHECK(JobNodesForReads(configuration, kGroup, Zone("b")) ==
        Names({"b1", "a2", "c1", "b2", "a1"}));
  CHECK(PlacedLeader(configuration, kGroup) == NodeId("b1"));
}

TEST_CASE("Nodes that are gone are not called") {
  Configuration configuration = FiveNodes();
  configuration.job_groups[kGroup] = {kGroup, {MemberAt("b1"), MemberAt("c1")}, {}};
  configuration.nodes[NodeId("b1")].state = MemberState::kGone;
  CHECK(JobNodesForChanges(configuration, kGroup, Zone("b")) == Names({"c1", "b2", "a1", "a2"}));
}

}  // namespace
}  // namespace millstair
