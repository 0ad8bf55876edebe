/// Stream groups on the control nodes, in virtual time.
#include "cluster/stream_host.h"

#include <catch2/catch.hpp>

#include "api/generated/control.pb.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "test/cluster/cluster_fleet.h"
#include "test/cluster/cluster_test_support.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

using std::chrono::seconds;

/// The group's name as used by gateways; its replicas add the generation of the stream.
const GroupId kGroup("stream/s");
const std::vector<std::string> kInitialMembers = {"c1", "c2", "c3"};

void PutStream(ClusterFleet& fleet) {
  const std::vector<Resource> resources = {MakeResource("x", ModelSpec{"10.0.0.1:1", 1, 1, 0.5}),
                                           MakeResource("p", PoolSpec{ModelName("x"), 1, 1}),
                                           MakeResource("s", StreamSpec{"p", 1, 0.5, 8, ""})};
  std::string items;
  for (const Resource& resource : resources) {
    items += fmt::format("{}{{\"resource\":{},\"expected\":0}}", items.empty() ? "" : ",",
                         ToJson(resource));
  }
  const RecordedAnswer put =
      fleet.RequestAndWait(fleet.AwaitLeader(), "POST", "/v1/apply", "{\"items\":[" + items + "]}");
  INFO(put.body);
  REQUIRE(put.status == 200);
}

RaftGroup* GroupOn(ClusterFleet& fleet, const std::string& node) {
  for (RaftGroup* group : fleet.Process(node).control->groups().Groups()) {
    if (group->id().value().starts_with("stream/s@")) return group;
  }
  return nullptr;
}

std::string StreamLeaderOf(ClusterFleet& fleet) {
  for (const std::string& node : kInitialMembers) {
    if (!fleet.Running(node)) continue;
    const RaftGroup* group = GroupOn(fleet, node);
    if (group != nullptr && group->IsLeader()) return node;
  }
  return "";
}

std::string WorkFrom(const std::string& gateway) {
  WireArena arena;
  millstair_WorkRequestHead head = millstair_WorkRequestHead_init_zero;
  head.stream = arena.NewString("s");
  head.gateway = arena.NewString(gateway);
  return EncodeNanopb(millstair_WorkRequestHead_fields, &head);
}

TEST_CASE("a stream's group is opened on all voters with the same members and serves commands") {
  ClusterFleet fleet({});
  PutStream(fleet);
  REQUIRE(fleet.RunUntil([&] { return !StreamLeaderOf(fleet).empty(); }, seconds(10)));
  for (const std::string& node : kInitialMembers) {
    REQUIRE(GroupOn(fleet, node) != nullptr);
    CHECK(GroupOn(fleet, node)->Members().size() == 3);
  }
  std::string proposed;
  std::string queried;
  fleet.Process("g1").commands->Submit(
      kGroup, CommandMode::kPropose, "ab", seconds(10),
      [&](const absl::StatusOr<std::string>& result) { proposed = result.value_or("failed"); });
  fleet.Process("g2").commands->Submit(
      kGroup, CommandMode::kQuery, "q", seconds(10),
      [&](const absl::StatusOr<std::string>& result) { queried = result.value_or("failed"); });
  CHECK(fleet.RunUntil([&] { return proposed == "ab" && queried == "answer to q"; }, seconds(10)));
  CHECK(fleet.Process(StreamLeaderOf(fleet)).streams.changes > 0);
}

TEST_CASE("a work request reaches the stream's leader through any control node, once") {
  ClusterFleet fleet({});
  PutStream(fleet);
  REQUIRE(fleet.RunUntil([&] { return !StreamLeaderOf(fleet).empty(); }, seconds(10)));
  fleet.RunFor(seconds(2));
  const std::string leader = StreamLeaderOf(fleet);
  for (const std::string& node : kInitialMembers) {
    const PeerMessage message{MessageKind::kWorkRequest, WorkFrom("g1")};
    fleet.Process("g1").transport->Send(NodeId(node), message);
  }
  fleet.RunFor(seconds(1));
  CHECK(fleet.Process(leader).streams.work_requests == 3);
  // A forwarded request that reaches a node which does not lead is dropped.
  const std::string follower = leader == "c1" ? "c2" : "c1";
  fleet.Process(leader).transport->Send(NodeId(follower),
                                        {MessageKind::kWorkRequest, WorkFrom("g1")});
  fleet.RunFor(seconds(1));
  CHECK(fleet.Process(leader).streams.work_requests == 3);
}

TEST_CASE("the group of a deleted stream is dropped, and not before its absence is confirmed") {
  ClusterFleet fleet({});
  PutStream(fleet);
  REQUIRE(fleet.RunUntil([&] { return !StreamLeaderOf(fleet).empty(); }, seconds(10)));
  // A restarted replica first has an old configuration; its group must stay.
  const std::string follower = fleet.Leader() == "c1" ? "c2" : "c1";
  fleet.Crash(follower);
  fleet.RunFor(seconds(1));
  fleet.Start(follower);
  CHECK(GroupOn(fleet, follower) != nullptr);
  fleet.RunFor(seconds(5));
  CHECK(GroupOn(fleet, follower) != nullptr);
  REQUIRE(fleet.RequestAndWait(fleet.AwaitLeader(), "DELETE", "/v1/resources/Stream/s").status ==
          200);
  CHECK(fleet.RunUntil(
      [&] {
        for (const std::string& node : kInitialMembers) {
          if (GroupOn(fleet, node) != nullptr) return false;
        }
        return true;
      },
      seconds(10)));
}

TEST_CASE("a stream recreated under the same name shares nothing with the earlier one") {
  ClusterFleet fleet({});
  PutStream(fleet);
  REQUIRE(fleet.RunUntil([&] { return !StreamLeaderOf(fleet).empty(); }, seconds(10)));
  const auto append = [&](const std::string& command) {
    std::string state;
    fleet.Process("g1").commands->Submit(
        kGroup, CommandMode::kPropose, command, seconds(20),
        [&](const absl::StatusOr<std::string>& result) { state = result.value_or("failed"); });
    REQUIRE(fleet.RunUntil([&] { return !state.empty(); }, seconds(25)));
    return state;
  };
  CHECK(append("old") == "old");
  // One replica is down while the stream is deleted and recreated.
  const std::string down = fleet.Leader() == "c1" ? "c2" : "c1";
  const GroupId earlier = GroupOn(fleet, down)->id();
  fleet.Crash(down);
  REQUIRE(fleet.RequestAndWait(fleet.AwaitLeader(), "DELETE", "/v1/resources/Stream/s").status ==
          200);
  fleet.RunFor(seconds(5));
  const Resource again = MakeResource("s", StreamSpec{"p", 1, 0.5, 8, ""});
  REQUIRE(
      fleet.RequestAndWait(fleet.Leader(), "PUT", "/v1/resources/Stream/s", ToJson(again)).status ==
      200);
  fleet.RunFor(seconds(3));
  CHECK(append("new") == "new");
  fleet.Start(down);
  CHECK(fleet.RunUntil(
      [&] {
        RaftGroup* group = GroupOn(fleet, down);
        return group != nullptr && group->id() != earlier &&
               fleet.Process(down).control->groups().Find(earlier) == nullptr;
      },
      seconds(10)));
  CHECK(append("+") == "new+");
}

TEST_CASE("a stream's members follow those of the cluster group") {
  ClusterFleet fleet({.control_nodes = 4});
  PutStream(fleet);
  fleet.Start("c4");
  fleet.RunFor(seconds(10));
  const std::string lost = StreamLeaderOf(fleet) == "c1" ? "c2" : "c1";
  fleet.Crash(lost);
  CHECK(fleet.RunUntil(
      [&] {
        const RaftGroup* group = GroupOn(fleet, "c4");
        if (group == nullptr) return false;
        size_t voters = 0;
        bool lost_is_member = false;
        for (const GroupMember& member : group->Members()) {
          voters += member.voter ? 1 : 0;
          lost_is_member = lost_is_member || member.node == NodeId(lost);
        }
        return voters == 3 && !lost_is_member;
      },
      seconds(60)));
}

TEST_CASE("heartbeats of 400 nodes stay far below 8 KB a second each") {
  constexpr int kNodes = 400;
  ClusterFleet fleet({.gateways = kNodes});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  const uint64_t before = fleet.gateway_bytes();
  constexpr int kSeconds = 20;
  fleet.RunFor(seconds(kSeconds));
  const uint64_t per_node_second = (fleet.gateway_bytes() - before) / (kNodes * kSeconds);
  INFO("bytes a second and node: " << per_node_second);
  CHECK(per_node_second < 400);
  // A change reaches every node as one delta, not as the complete state.
  const uint64_t before_change = fleet.gateway_bytes();
  const Revision revision = fleet.PutMachine("m1");
  REQUIRE(fleet.RunUntil(
      [&] {
        for (int i = 1; i <= kNodes; ++i) {
          const auto& client = *fleet.Process(fmt::format("g{}", i)).configuration;
          if (client.configuration().revision < revision) return false;
        }
        return true;
      },
      seconds(3)));
  CHECK((fleet.gateway_bytes() - before_change) / kNodes < 2000);
}

}  // namespace
}  // namespace millstair
