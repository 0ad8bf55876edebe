#include "jobs/job_replica_manager.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "test/common/log_pipe.h"
#include "test/jobs/fake_group.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Fixture {
 public:
  Fixture() {
    for (const char* name : {"a", "b", "c"}) {
      Join(name, ReplicaId(static_cast<uint64_t>(name[0])));
      group.members.push_back(
          {configuration.nodes[NodeId(name)].replica, NodeId(name), name, true});
    }
  }

  void Join(const std::string& name, ReplicaId replica, const std::string& zone = "") {
    NodeRecord record;
    record.zone = Zone(zone);
    record.node = NodeId(name);
    record.address = name;
    record.storage = true;
    record.replica = replica;
    configuration.nodes[record.node] = record;
  }

  void Run(Duration span = seconds(5)) {
    manager.SetLeading(&group);
    scheduler.RunFor(span);
  }

  std::set<std::string> Voters() const {
    std::set<std::string> voters;
    for (const GroupMember& member : group.members) {
      if (member.voter) voters.insert(member.node.value());
    }
    return voters;
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  Configuration configuration;
  FakeGroup group{scheduler, nullptr};
  std::set<NodeId> emptied;
  JobReplicaManager manager{environment, configuration, NodeId("a"), JobReplicaOptions{3, 1},
                            [this](const NodeId& node) { emptied.insert(node); }};
};

using Names = std::set<std::string>;

TEST_CASE("A healthy group stays unchanged with one spare learner") {
  Fixture fixture;
  fixture.Join("d", ReplicaId(100));
  fixture.Join("e", ReplicaId(101));
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  CHECK(fixture.group.members.size() == 4);
}

TEST_CASE("A lost voter stays until it is replaced") {
  Fixture fixture;
  fixture.configuration.nodes[NodeId("c")].state = MemberState::kGone;
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  fixture.Join("d", ReplicaId(100));
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "d"});
}

/// Guards against an even number of voters for longer than the two changes take: a partition into
/// halves leaves no quorum.
TEST_CASE("A lost voter is removed as soon as its successor votes") {
  Fixture fixture;
  fixture.Join("d", ReplicaId(100));
  fixture.configuration.nodes[NodeId("c")].state = MemberState::kGone;
  fixture.Run(seconds(0));
  constexpr Duration kStep = milliseconds(5);
  Duration even{0};
  for (Duration at{0}; at < seconds(5); at += kStep) {
    fixture.scheduler.RunFor(kStep);
    if (fixture.Voters().size() == 4) even += kStep;
  }
  CHECK(fixture.Voters() == Names{"a", "b", "d"});
  CHECK(even <= milliseconds(50));
}

TEST_CASE("A node that lost its disk returns as another replica and votes again") {
  Fixture fixture;
  fixture.Join("c", ReplicaId(200));
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  for (const GroupMember& member : fixture.group.members) {
    if (member.node == NodeId("c")) CHECK(member.replica == ReplicaId(200));
  }
}

TEST_CASE("A promotion is logged once, when it is done") {
  LogPipe log;
  Fixture fixture;
  fixture.group.promotions_refused = 3;
  fixture.Join("c", ReplicaId(200));
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  const std::string text = log.Read();
  const size_t first = text.find("ReplicaPromoted");
  REQUIRE(first != std::string::npos);
  CHECK(text.find("ReplicaPromoted", first + 1) == std::string::npos);
}

/// Guards against an even number of voters, of which a partition may leave no quorum, because the
/// heartbeats of a node that has restarted are late.
TEST_CASE("A voter of a gone node that replies in the group is not replaced") {
  Fixture fixture;
  fixture.Join("d", ReplicaId(100));
  fixture.Run();
  fixture.configuration.nodes[NodeId("c")].state = MemberState::kGone;
  const ReplicaId replica = fixture.configuration.nodes[NodeId("c")].replica;
  for (int i = 0; i < 20; ++i) {
    fixture.group.replied_at[replica] = fixture.environment.Now();
    fixture.Run(milliseconds(500));
  }
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  SECTION("until it stops replying") {}
  SECTION("unless the node has come back with another disk") {
    fixture.configuration.nodes[NodeId("c")].replica = ReplicaId(101);
  }
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "d"});
}

/// Guards against a voter that counts as healthy because its node sends heartbeats.
TEST_CASE("A voter of a live node that has not replied for long is replaced, and stays a learner") {
  Fixture fixture;
  fixture.Join("d", ReplicaId(100));
  fixture.Run();
  const ReplicaId replica = fixture.configuration.nodes[NodeId("c")].replica;
  fixture.group.unresponsive_since[replica] = fixture.environment.Now();
  fixture.Run(JobReplicaOptions().unresponsive_after - seconds(1));
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  fixture.Run(seconds(5));
  CHECK(fixture.Voters() == Names{"a", "b", "d"});
  fixture.group.unresponsive_since.clear();
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "d"});
  CHECK(fixture.group.members.size() == 4);
}

TEST_CASE("A retired node is replaced first, then emptied and reported") {
  Fixture fixture;
  fixture.configuration.retired_nodes[NodeId("b")] = {NodeId("b"), false};
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "c"});
  CHECK(fixture.emptied.empty());
  fixture.Join("d", ReplicaId(100));
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "c", "d"});
  CHECK(fixture.emptied == std::set<NodeId>{NodeId("b")});
}

// Guards against a voter whose machine is removed although the group still needs it for a quorum.
TEST_CASE("A retired node is not reported as emptied before its removal is committed") {
  Fixture fixture;
  fixture.configuration.retired_nodes[NodeId("b")] = {NodeId("b"), false};
  fixture.Join("d", ReplicaId(100));
  fixture.group.members_committed = false;
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "c", "d"});
  CHECK(fixture.emptied.empty());
  fixture.group.members_committed = true;
  fixture.Run();
  CHECK(fixture.emptied == std::set<NodeId>{NodeId("b")});
}

TEST_CASE("The leader of a job group reports no nodes without the storage role") {
  Fixture fixture;
  NodeRecord control;
  control.node = NodeId("k");
  control.control = true;
  fixture.configuration.nodes[control.node] = control;
  fixture.configuration.retired_nodes[NodeId("k")] = {NodeId("k"), false};
  fixture.Run();
  CHECK(fixture.emptied.empty());
}

TEST_CASE("A retired leader transfers the leadership before it is removed") {
  Fixture fixture;
  fixture.Join("d", ReplicaId(100));
  fixture.configuration.retired_nodes[NodeId("a")] = {NodeId("a"), false};
  fixture.Run();
  CHECK(fixture.group.transfers > 0);
  CHECK(fixture.Voters().contains("a"));
}

TEST_CASE("A group in one zone is spread over all, one change at a time") {
  Fixture fixture;
  for (const char* name : {"a", "b", "c"}) {
    fixture.configuration.nodes[NodeId(name)].zone = Zone("one");
  }
  fixture.Join("d", ReplicaId(100), "one");
  fixture.Join("e", ReplicaId(101), "two");
  fixture.Join("f", ReplicaId(102), "three");
  size_t fewest = 3;
  for (int step = 0; step < 40; ++step) {
    fixture.Run(milliseconds(250));
    fewest = std::min(fewest, fixture.Voters().size());
  }
  CHECK(fewest == 3);
  // The leader does not remove itself.
  CHECK(fixture.Voters() == Names{"a", "e", "f"});
}

TEST_CASE("A lost voter is replaced in a zone without voters") {
  Fixture fixture;
  for (const char* name : {"a", "b", "c"}) {
    fixture.configuration.nodes[NodeId(name)].zone = Zone(name);
  }
  fixture.Join("d", ReplicaId(100), "a");
  fixture.Join("e", ReplicaId(101), "c");
  fixture.configuration.nodes[NodeId("c")].state = MemberState::kGone;
  fixture.Run();
  CHECK(fixture.Voters() == Names{"a", "b", "e"});
}

TEST_CASE("No member is changed without the leadership") {
  Fixture fixture;
  fixture.Join("d", ReplicaId(100));
  fixture.group.leader = false;
  fixture.Run();
  CHECK(fixture.group.members.size() == 3);
}

}  // namespace
}  // namespace millstair
