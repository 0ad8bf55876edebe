/// Many servers that register at the same time: number of log entries, and compatibility with nodes
/// of an earlier build.
#include <catch2/catch.hpp>

#include "fmt/format.h"
#include "test/cluster/cluster_fleet.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

BackendInstance Server(int i) {
  BackendInstance server;
  server.id = InstanceId(fmt::format("i-{}", i));
  server.service = ServiceName("s");
  server.address = fmt::format("10.0.{}.{}:80", i / 250, i % 250);
  server.zone = Zone("z1");
  server.sequence = 1;
  return server;
}

/// Registers `count` servers at the control nodes in turn, one every 600 us. Returns how many were
/// acknowledged within a second of the last one.
int Register(ClusterFleet& fleet, int control_nodes, int count) {
  int acknowledged = 0;
  for (int i = 0; i < count; ++i) {
    auto& control = *fleet.Process(fmt::format("c{}", 1 + i % control_nodes)).control;
    control.ReportInstance(Server(i), [&](const absl::StatusOr<ClusterResult>& result) {
      acknowledged += result.ok() && result->code == ClusterResultCode::kOk ? 1 : 0;
    });
    fleet.RunFor(microseconds(600));
  }
  fleet.RunFor(seconds(1));
  return acknowledged;
}

uint64_t Entries(ClusterFleet& fleet) {
  auto& groups = fleet.Process(fleet.AwaitLeader()).control->groups();
  return groups.Find(GroupId("cluster"))->AppliedIndex().value();
}

/// With one entry per server, a mass registration made the leader lose its leadership.
TEST_CASE("servers that register together take few entries, and each is acknowledged in time") {
  constexpr int kControlNodes = 6;
  constexpr int kServers = 2000;
  ClusterFleet fleet({.control_nodes = kControlNodes, .know_initial_members_only = true});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  const uint64_t before = Entries(fleet);
  CHECK(Register(fleet, kControlNodes, kServers) == kServers);
  // One entry every 20 ms, with a factor of two for other entries.
  constexpr uint64_t kMaxEntries = 2 * (kServers * 600 / 20'000);
  CHECK(Entries(fleet) - before <= kMaxEntries);
  for (const char* gateway : {"g1", "g2"}) {
    CHECK(fleet.Process(gateway).configuration->configuration().instances.size() == kServers);
  }
}

TEST_CASE("a single report is proposed at once") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  bool acknowledged = false;
  fleet.Process(fleet.Leader()).control->ReportInstance(Server(1), [&](const auto&) {
    acknowledged = true;
  });
  CHECK(fleet.RunUntil([&] { return acknowledged; }, milliseconds(15)));
}

TEST_CASE("reports are written one by one while a node of an earlier build is live") {
  constexpr int kServers = 100;
  ClusterFleet fleet({});
  fleet.Crash("c2");
  fleet.SetFirstBuild("c2", true);
  fleet.Start("c2");
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  const uint64_t before = Entries(fleet);
  CHECK(Register(fleet, 3, kServers) == kServers);
  CHECK(Entries(fleet) - before >= kServers);
}

TEST_CASE("grouped reports have the same effect as single ones") {
  StateMachineDriver grouped;
  StateMachineDriver single;
  UpdateInstances update;
  for (int i = 0; i < 20; ++i) update.instances.push_back(Server(i % 7));
  update.instances[9].state = MemberState::kLeaving;
  update.instances[9].sequence = 2;
  const ClusterResult result = grouped.Apply(update, std::nullopt);
  CHECK(result.code == ClusterResultCode::kOk);
  for (const BackendInstance& instance : update.instances) {
    single.Apply(UpdateInstance{instance}, std::nullopt);
  }
  const auto& left = grouped.state.configuration().instances;
  const auto& right = single.state.configuration().instances;
  REQUIRE(left.size() == right.size());
  for (const auto& [id, instance] : left) CHECK(instance.state == right.at(id).state);
  StateMachineDriver restored;
  REQUIRE(restored.state.Restore(LogIndex(1), grouped.state.TakeSnapshot()).ok());
  CHECK(restored.state.configuration().instances == left);
}

}  // namespace
}  // namespace millstair
