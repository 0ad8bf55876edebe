/// Nodes are told of a few control nodes when they start. These control nodes may lose their disks
/// while others replace them in the cluster group.
#include <catch2/catch.hpp>

#include "fmt/format.h"
#include "test/cluster/cluster_fleet.h"

namespace millstair {
namespace {

using std::chrono::seconds;

constexpr int kControlNodes = 9;
constexpr int kGateways = 6;
/// The control nodes that every node is told of.
const std::vector<std::string> kSeeds = {"c1", "c2", "c3"};
const GroupId kClusterGroup("cluster");
/// From the return of all machines until every node must be served again.
constexpr Duration kMaxRecovery = seconds(10);

bool HasReplica(ClusterFleet& fleet, const std::string& node) {
  return fleet.Process(node).control->groups().Find(kClusterGroup) != nullptr;
}

/// Each seed loses its disk and is replaced in the cluster group before the next one does; they
/// come back once all are replaced.
void ReplaceSeeds(ClusterFleet& fleet) {
  for (const std::string& seed : kSeeds) {
    fleet.Crash(seed);
    fleet.LoseDisk(seed);
    fleet.AwaitLeader();
    fleet.RunFor(seconds(20));
  }
  for (const std::string& seed : kSeeds) fleet.Start(seed);
  fleet.RunFor(seconds(20));
}

void RestartAll(ClusterFleet& fleet) {
  std::vector<std::string> names;
  for (int i = 1; i <= kControlNodes; ++i) names.push_back(fmt::format("c{}", i));
  for (int i = 1; i <= kGateways; ++i) names.push_back(fmt::format("g{}", i));
  for (const std::string& name : names) fleet.Crash(name);
  fleet.RunFor(seconds(1));
  for (const std::string& name : names) fleet.Start(name);
}

bool AllConfirmed(ClusterFleet& fleet) {
  for (int i = 1; i <= kGateways; ++i) {
    if (!fleet.Process(fmt::format("g{}", i)).configuration->LeaseValid()) return false;
  }
  return true;
}

TEST_CASE("the cluster is found after a restart of all though no seed holds a replica") {
  ClusterFleet fleet({.seed = static_cast<uint64_t>(GENERATE(range(1, 9))),
                      .control_nodes = kControlNodes,
                      .gateways = kGateways,
                      .know_initial_members_only = true});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(20));
  ReplaceSeeds(fleet);
  for (const std::string& seed : kSeeds) REQUIRE_FALSE(HasReplica(fleet, seed));
  REQUIRE(AllConfirmed(fleet));

  RestartAll(fleet);
  CHECK(
      fleet.RunUntil([&] { return !fleet.Leader().empty() && AllConfirmed(fleet); }, kMaxRecovery));
}

/// Invitations reach the gateway, but show nothing of the way to a control node.
TEST_CASE("a gateway that is invited but cannot send counts as isolated") {
  ClusterFleet fleet({.control_nodes = 3, .gateways = 2});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  for (const std::string& seed : kSeeds) fleet.CutLink("g1", seed);
  // Another gateway would confirm the configuration.
  fleet.CutLink("g1", "g2");
  fleet.RunFor(seconds(7));
  for (int second = 0; second < 20; ++second) {
    fleet.RunFor(seconds(1));
    CHECK(fleet.Process("g1").configuration->IsIsolated());
  }
  CHECK(fleet.Process("g2").configuration->LeaseValid());
}

}  // namespace
}  // namespace millstair
