/// Routing documents, self-registered back ends, announced versions, job groups and retired nodes
/// in the cluster state.
#include <catch2/catch.hpp>

#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

ClusterResultCode Replace(StateMachineDriver& driver, uint64_t version,
                          const std::string& content) {
  return driver.Apply(ReplaceRouting{{version, content}}).code;
}

BackendInstance Reported(const std::string& id, uint64_t sequence, MemberState state) {
  BackendInstance instance;
  instance.id = InstanceId(id);
  instance.service = ServiceName("s");
  instance.address = "1.1.1.1:1";
  instance.slots = 4;
  instance.sequence = sequence;
  instance.state = state;
  return instance;
}

TEST_CASE("the highest routing version wins, and resends have no effect") {
  StateMachineDriver driver;
  CHECK(Replace(driver, 5, "five") == ClusterResultCode::kOk);
  CHECK(Replace(driver, 3, "three") == ClusterResultCode::kOk);
  CHECK(driver.state.configuration().routing.content == "five");
  CHECK(Replace(driver, 9, "nine") == ClusterResultCode::kOk);
  CHECK(Replace(driver, 9, "nine") == ClusterResultCode::kOk);
  CHECK(Replace(driver, 5, "five") == ClusterResultCode::kOk);
  CHECK(driver.state.configuration().routing == RoutingDocument{9, "nine"});
}

TEST_CASE("different content with the current routing version is rejected") {
  StateMachineDriver driver;
  Replace(driver, 5, "five");
  CHECK(Replace(driver, 5, "other") == ClusterResultCode::kConflict);
  CHECK(driver.state.configuration().routing.content == "five");
  CHECK(Replace(driver, 0, "none") == ClusterResultCode::kInvalid);
}

TEST_CASE("a late report of a back end has no effect") {
  StateMachineDriver driver;
  driver.Apply(UpdateInstance{Reported("i", 4, MemberState::kLive)});
  BackendInstance late = Reported("i", 3, MemberState::kLive);
  late.address = "2.2.2.2:2";
  driver.Apply(UpdateInstance{late});
  CHECK(driver.state.configuration().instances.at(InstanceId("i")).address == "1.1.1.1:1");
}

TEST_CASE("a leaving back end never returns under the same id") {
  StateMachineDriver driver;
  driver.Apply(UpdateInstance{Reported("i", 4, MemberState::kLeaving)});
  driver.Apply(UpdateInstance{Reported("i", 5, MemberState::kLive)});
  const auto& instances = driver.state.configuration().instances;
  CHECK(instances.at(InstanceId("i")).state == MemberState::kLeaving);
  BackendInstance gone;
  gone.id = InstanceId("i");
  gone.state = MemberState::kGone;
  driver.Apply(UpdateInstance{gone});
  driver.Apply(UpdateInstance{Reported("i", 9, MemberState::kLive)});
  CHECK(instances.at(InstanceId("i")).state == MemberState::kGone);
  CHECK(instances.at(InstanceId("i")).address == "1.1.1.1:1");
}

TEST_CASE("a back end whose deregistration precedes its first report stays gone") {
  StateMachineDriver driver;
  BackendInstance gone;
  gone.id = InstanceId("i");
  gone.state = MemberState::kGone;
  driver.Apply(UpdateInstance{gone});
  driver.Apply(UpdateInstance{Reported("i", 1, MemberState::kLive)});
  CHECK(driver.state.configuration().instances.at(InstanceId("i")).state == MemberState::kGone);
}

TEST_CASE("a bounded number of ended instances is retained") {
  StateMachineDriver driver;
  for (int i = 0; i < 1100; ++i) {
    driver.Apply(UpdateInstance{Reported("i" + std::to_string(i), 1, MemberState::kGone)});
  }
  driver.Apply(UpdateInstance{Reported("live", 1, MemberState::kLive)});
  const auto& instances = driver.state.configuration().instances;
  CHECK(instances.size() == 1025);
  CHECK(instances.contains(InstanceId("live")));
  CHECK_FALSE(instances.contains(InstanceId("i0")));
}

TEST_CASE("announced versions only increase") {
  StateMachineDriver driver;
  const auto name = [&](uint64_t version) {
    driver.Apply(NameVersion{{ModelName("m"), WeightVersion(version)}});
    return driver.state.configuration().versions.at(ModelName("m")).version;
  };
  CHECK(name(3) == WeightVersion(3));
  CHECK(name(2) == WeightVersion(3));
  CHECK(name(4) == WeightVersion(4));
}

TEST_CASE("the first initial members of a job group are kept") {
  StateMachineDriver driver;
  const JobGroup first{GroupId("jobs/0"), {{ReplicaId(1), NodeId("a"), "a", true}}, {}};
  const JobGroup second{GroupId("jobs/0"), {{ReplicaId(2), NodeId("b"), "b", true}}, {}};
  driver.Apply(BootstrapJobGroup{first});
  driver.Apply(BootstrapJobGroup{second});
  CHECK(driver.state.configuration().job_groups.at(GroupId("jobs/0")) == first);
}

TEST_CASE("the placement of a job group is the last report of its latest leader") {
  StateMachineDriver driver;
  const GroupId group("jobs/0");
  const auto place = [&](uint64_t term, uint64_t sequence, const char* leader) {
    const JobGroupPlacement placement{
        Term(term), sequence, NodeId(leader), {{ReplicaId(1), NodeId(leader), "1:1", true}}};
    return driver.Apply(PlaceJobGroup{group, placement}).code;
  };
  CHECK(place(1, 1, "a") == ClusterResultCode::kNotFound);
  driver.Apply(BootstrapJobGroup{{group, {{ReplicaId(1), NodeId("a"), "a", true}}, {}}});
  const auto leader = [&] {
    return driver.state.configuration().job_groups.at(group).placement.leader;
  };
  CHECK(place(2, 2, "b") == ClusterResultCode::kOk);
  CHECK(leader() == NodeId("b"));
  place(2, 1, "late");
  CHECK(leader() == NodeId("b"));
  place(1, 9, "deposed");
  CHECK(leader() == NodeId("b"));
  const Revision before = driver.state.configuration().revision;
  place(2, 2, "b");
  CHECK(driver.state.configuration().revision == before);
  place(3, 1, "c");
  CHECK(leader() == NodeId("c"));
}

TEST_CASE("only nodes that may hold replicas are retired, and they stay retired") {
  StateMachineDriver driver;
  CHECK(driver.Apply(RetireNode{{NodeId("a"), false}}).code == ClusterResultCode::kNotFound);
  NodeRecord record;
  record.node = NodeId("a");
  record.storage = true;
  UpdateMembers update;
  update.nodes.push_back(record);
  driver.Apply(update);
  CHECK(driver.Apply(RetireNode{{NodeId("a"), false}}).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(RetireNode{{NodeId("a"), true}}).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(RetireNode{{NodeId("a"), false}}).code == ClusterResultCode::kOk);
  CHECK(driver.state.configuration().retired_nodes.at(NodeId("a")).emptied);
  record.node = NodeId("gateway");
  record.storage = false;
  record.gateway = true;
  update.nodes = {record};
  driver.Apply(update);
  CHECK(driver.Apply(RetireNode{{NodeId("gateway"), false}}).code == ClusterResultCode::kNotFound);
}

TEST_CASE("deltas and snapshots carry all registration state") {
  StateMachineDriver driver;
  Configuration follower;
  const auto follow = [&] {
    const auto delta = DecodeDelta(EncodeDelta(driver.state.DeltaSince(follower.revision)));
    REQUIRE(delta.ok());
    REQUIRE(ApplyDelta(follower, *delta));
  };
  Replace(driver, 1, "one");
  follow();
  Replace(driver, 2, std::string(200'000, 'x'));
  driver.Apply(UpdateInstance{Reported("i", 4, MemberState::kLeaving)});
  driver.Apply(NameVersion{{ModelName("m"), WeightVersion(3)}});
  driver.Apply(
      BootstrapJobGroup{{GroupId("jobs/0"), {{ReplicaId(1), NodeId("a"), "a", true}}, {}}});
  driver.Apply(PlaceJobGroup{GroupId("jobs/0"),
                             {Term(4), 2, NodeId("a"), {{ReplicaId(1), NodeId("a"), "a", true}}}});
  NodeRecord record;
  record.node = NodeId("a");
  record.storage = true;
  record.replica = ReplicaId(7);
  record.machine = "storage-1";
  UpdateMembers update;
  update.nodes.push_back(record);
  driver.Apply(update);
  driver.Apply(RetireNode{{NodeId("a"), false}});
  follow();
  ClusterStateMachine restored;
  REQUIRE(restored.Restore(LogIndex(99), driver.state.TakeSnapshot()).ok());
  for (const Configuration* held :
       {static_cast<const Configuration*>(&follower), &restored.configuration()}) {
    const Configuration& expected = driver.state.configuration();
    CHECK(held->routing == expected.routing);
    CHECK(held->instances == expected.instances);
    CHECK(held->versions == expected.versions);
    CHECK(held->job_groups == expected.job_groups);
    CHECK(held->retired_nodes == expected.retired_nodes);
    CHECK(held->nodes == expected.nodes);
  }
}

}  // namespace
}  // namespace millstair
