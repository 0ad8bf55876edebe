/// Numbers of ordered servers in the state of the cluster group, and reports of needs to its
/// leader.
#include <catch2/catch.hpp>

#include "test/cluster/cluster_fleet.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

using std::chrono::seconds;

PoolSize SizeOf(uint32_t initial, uint32_t wanted) {
  return {ServiceName("s"), Zone("z1"), initial, wanted, initial, wanted > initial};
}

const PoolSize& Stored(const ClusterStateMachine& state) {
  return state.pool_sizes().at({ServiceName("s"), Zone("z1")});
}

TEST_CASE("The initial number of servers is never lowered, nor a lower number wanted") {
  StateMachineDriver driver;
  CHECK(driver.Apply(SetPoolSize{SizeOf(4, 4)}).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(SetPoolSize{SizeOf(4, 6)}).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(SetPoolSize{SizeOf(2, 3)}).code == ClusterResultCode::kInvalid);
  CHECK(Stored(driver.state) == SizeOf(4, 6));
  CHECK(driver.Apply(SetPoolSize{SizeOf(2, 5)}).code == ClusterResultCode::kOk);
  CHECK(Stored(driver.state).initial == 4);
  CHECK(Stored(driver.state).wanted == 5);
  // Once ordered, a pool stays known as ordered, so that the next leader repeats the number.
  CHECK(driver.Apply(SetPoolSize{SizeOf(5, 5)}).code == ClusterResultCode::kInvalid);
  CHECK(Stored(driver.state).ordered);
  CHECK(Stored(driver.state).wanted == 5);
}

TEST_CASE(
    "Numbers of servers without a service or a zone, or below the initial one, are rejected") {
  StateMachineDriver driver;
  PoolSize nameless = SizeOf(1, 1);
  nameless.service = ServiceName();
  CHECK(driver.Apply(SetPoolSize{nameless}).code == ClusterResultCode::kInvalid);
  PoolSize nowhere = SizeOf(1, 1);
  nowhere.zone = Zone();
  CHECK(driver.Apply(SetPoolSize{nowhere}).code == ClusterResultCode::kInvalid);
  CHECK(driver.Apply(SetPoolSize{SizeOf(2, 1)}).code == ClusterResultCode::kInvalid);
  CHECK(driver.state.pool_sizes().empty());
}

TEST_CASE("Numbers of servers survive a snapshot and change no revision") {
  StateMachineDriver driver;
  driver.Apply(SetPoolSize{SizeOf(4, 6)});
  CHECK(driver.state.configuration().revision == Revision());
  ClusterStateMachine restored;
  REQUIRE(restored.Restore(LogIndex(9), driver.state.TakeSnapshot()).ok());
  CHECK(restored.pool_sizes() == driver.state.pool_sizes());
}

TEST_CASE("A report of needs is encoded whole, and one that is not finite is rejected") {
  ClusterCommand command;
  const PoolReport report{
      Term(3),
      7,
      {{ServiceName("a"), 2.5, 12, -1.25, 7.5, 96}, {ServiceName("b"), 0, 0, std::nullopt, 0, 0}}};
  command.operation = ReportPoolNeeds{report};
  const auto decoded = DecodeCommand(EncodeCommand(command));
  REQUIRE(decoded.ok());
  CHECK(std::get<ReportPoolNeeds>(decoded->operation).report == report);
  PoolReport infinite = report;
  infinite.needs[0].missing_slots = std::numeric_limits<double>::infinity();
  command.operation = ReportPoolNeeds{infinite};
  CHECK_FALSE(DecodeCommand(EncodeCommand(command)).ok());
}

TEST_CASE("A spot server's state survives a snapshot") {
  StateMachineDriver driver;
  BackendInstance instance;
  instance.id = InstanceId("i");
  instance.service = ServiceName("s");
  instance.address = "1.1.1.1:1";
  instance.sequence = 1;
  instance.spot = true;
  driver.Apply(UpdateInstance{instance});
  ClusterStateMachine restored;
  REQUIRE(restored.Restore(LogIndex(9), driver.state.TakeSnapshot()).ok());
  CHECK(restored.configuration().instances.at(InstanceId("i")).spot);
}

TEST_CASE("A report reaches the leader from any control node and leaves nothing in the log") {
  ClusterFleet fleet({});
  const std::string leader = fleet.AwaitLeader();
  std::map<std::string, int> received;
  for (const char* node : {"c1", "c2", "c3"}) {
    fleet.Process(node).control->OnPoolReport(
        [&received, node](const PoolReport&) { ++received[node]; });
  }
  fleet.RunFor(seconds(10));
  RaftGroup* group = fleet.Process(leader).control->groups().Find(GroupId("cluster"));
  const LogIndex before = group->AppliedIndex();
  int acknowledged = 0;
  for (const char* node : {"c1", "c2", "c3"}) {
    fleet.Process(node).control->Submit(
        ReportPoolNeeds{{Term(1), 1, {}}},
        [&acknowledged](const absl::StatusOr<ClusterResult>& result) {
          acknowledged += result.ok() ? 1 : 0;
        });
  }
  fleet.RunFor(seconds(1));
  CHECK(acknowledged == 3);
  CHECK(received == std::map<std::string, int>{{leader, 3}});
  CHECK(group->AppliedIndex() == before);
}

/// An earlier build cannot decode the numbers: its replica would skip the entry.
TEST_CASE("No numbers are committed while a live node is of an earlier build") {
  ClusterFleet fleet({});
  fleet.Crash("g1");
  fleet.SetFirstBuild("g1", true);
  fleet.Start("g1");
  const std::string leader = fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  CHECK(fleet.Process(leader).control->MinLevel() < kPoolScalingLevel);
  fleet.Crash("g1");
  fleet.SetFirstBuild("g1", false);
  fleet.Start("g1");
  fleet.RunFor(seconds(10));
  CHECK(fleet.Process(fleet.AwaitLeader()).control->MinLevel() >= kPoolScalingLevel);
}

}  // namespace
}  // namespace millstair
