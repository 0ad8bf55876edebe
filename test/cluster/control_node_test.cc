/// Control nodes and gateways' clients together, in virtual time.
#include <catch2/catch.hpp>

#include "cluster/control_messages.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "test/cluster/cluster_fleet.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string MachineJson(const std::string& name, const std::string& address) {
  return ToJson(MakeResource(name, MachineSpec{Zone("z1"), address, false}));
}

bool Holds(ClusterFleet& fleet, const std::string& gateway, Revision revision) {
  return fleet.Process(gateway).configuration->configuration().revision >= revision;
}

const GroupMember* MemberOn(const std::vector<GroupMember>& members, const std::string& node) {
  for (const GroupMember& member : members) {
    if (member.node == NodeId(node)) return &member;
  }
  return nullptr;
}

std::vector<GroupMember> ClusterMembers(ClusterFleet& fleet) {
  const std::string leader = fleet.Leader();
  if (leader.empty()) return {};
  return fleet.Process(leader).control->groups().Find(GroupId("cluster"))->Members();
}

size_t Voters(ClusterFleet& fleet) {
  size_t voters = 0;
  for (const GroupMember& member : ClusterMembers(fleet)) voters += member.voter ? 1 : 0;
  return voters;
}

/// During an election gateways contact all control nodes; only the one in use may push changes to
/// them.
TEST_CASE(
    "a node is pushed changes by the control node that it uses, and by no other it contacted") {
  constexpr int kGateways = 8;
  constexpr int kChanges = 10;
  ClusterFleet fleet({.gateways = kGateways});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  const std::string lost = fleet.Leader();
  fleet.Isolate(lost);
  fleet.AwaitLeader();
  fleet.RunFor(seconds(1));
  const uint64_t before = fleet.pushes();
  Revision newest;
  for (int i = 0; i < kChanges; ++i) {
    newest = fleet.PutMachine(fmt::format("m{}", i));
    fleet.RunFor(milliseconds(100));
  }
  // The isolated node is recorded as gone meanwhile, which is a change too.
  constexpr int kOtherChanges = 2;
  CHECK(fleet.pushes() - before <= (kChanges + kOtherChanges) * kGateways);
  for (int i = 1; i <= kGateways; ++i) CHECK(Holds(fleet, fmt::format("g{}", i), newest));
}

TEST_CASE("an accepted change is in force on every gateway within a second") {
  ClusterFleet fleet({.gateways = 5});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  const Revision revision = fleet.PutMachine("m1");
  const auto everywhere = [&] {
    for (int i = 1; i <= 5; ++i) {
      if (!Holds(fleet, fmt::format("g{}", i), revision)) return false;
    }
    return true;
  };
  CHECK(fleet.RunUntil(everywhere, milliseconds(1000)));
  for (int i = 1; i <= 5; ++i) {
    const auto& client = *fleet.Process(fmt::format("g{}", i)).configuration;
    CHECK(client.LeaseValid());
    CHECK(client.configuration().resources.size() == 1);
  }
  CHECK(
      fleet.RequestAndWait(fleet.Leader(), "GET", fmt::format("/v1/revisions/{}/lagging", revision))
          .status == 200);
}

TEST_CASE("the lease of an isolated gateway expires, and is valid again after it heals") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  const auto& client = *fleet.Process("g1").configuration;
  REQUIRE(client.LeaseValid());
  fleet.Isolate("g1");
  fleet.RunFor(seconds(4));
  CHECK_FALSE(client.LeaseValid());
  const Revision revision = fleet.PutMachine("m1");
  fleet.RunFor(seconds(10));
  CHECK_FALSE(Holds(fleet, "g1", revision));
  const RecordedAnswer lagging = fleet.RequestAndWait(
      fleet.Leader(), "GET", fmt::format("/v1/revisions/{}/lagging", revision));
  CHECK(lagging.body == "{\"lagging\":[]}");
  fleet.Heal("g1");
  CHECK(fleet.RunUntil([&] { return client.LeaseValid() && Holds(fleet, "g1", revision); },
                       seconds(5)));
}

TEST_CASE("an isolated control node gives no lease; its gateways switch to another one") {
  for (const bool broken : {false, true}) {
    ClusterFaults faults;
    faults.heartbeat_unconfirmed = broken;
    ClusterFleet fleet({.faults = faults});
    fleet.AwaitLeader();
    fleet.RunFor(seconds(5));
    // c1 is isolated from the control nodes only; g1 of the same zone still reaches it.
    for (const char* other : {"c2", "c3"}) {
      fleet.CutLink("c1", other);
      fleet.CutLink(other, "c1");
    }
    REQUIRE(fleet.RunUntil(
        [&] {
          for (const char* node : {"c2", "c3"}) {
            if (fleet.Process(node).control->IsClusterLeader()) return true;
          }
          return false;
        },
        seconds(20)));
    const std::string leader = fleet.Process("c2").control->IsClusterLeader() ? "c2" : "c3";
    const RecordedAnswer put = fleet.RequestAndWait(leader, "PUT", "/v1/resources/Machine/m1",
                                                    MachineJson("m1", "10.0.0.1"));
    REQUIRE(put.status == 200);
    fleet.RunFor(seconds(10));
    const bool in_force = Holds(fleet, "g1", Revision(put.revision));
    const bool leased = fleet.Process("g1").configuration->LeaseValid();
    CHECK(leased);
    CHECK(in_force == !broken);
  }
}

TEST_CASE("a control node without a leader soon fails commands that can be sent elsewhere") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  fleet.Isolate("c1");
  fleet.RunFor(seconds(10));
  const NameVersion named{{ModelName("m"), WeightVersion(2)}};
  std::optional<absl::StatusOr<ClusterResult>> isolated;
  fleet.Process("c1").control->Submit(named, [&](auto result) { isolated = std::move(result); });
  fleet.RunFor(milliseconds(400));
  REQUIRE(isolated.has_value());
  CHECK_FALSE(isolated->ok());
  std::optional<absl::StatusOr<ClusterResult>> healthy;
  fleet.Process("c2").control->Submit(named, [&](auto result) { healthy = std::move(result); });
  fleet.RunFor(milliseconds(400));
  REQUIRE(healthy.has_value());
  CHECK(healthy->ok());
}

TEST_CASE("a gateway that was down for 500 changes holds them all soon after its start") {
  ClusterFleet fleet({.snapshot_after_entries = 200});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(3));
  fleet.Crash("g2");
  fleet.Crash("c2");
  Revision newest;
  for (int i = 0; i < 500; ++i) newest = fleet.PutMachine(fmt::format("m{}", i % 50));
  fleet.Start("g2");
  fleet.Start("c2");
  CHECK(fleet.RunUntil(
      [&] {
        return Holds(fleet, "g2", newest) && fleet.Process("g2").configuration->LeaseValid() &&
               fleet.Process("c2").control->configuration().revision >= newest;
      },
      seconds(5)));
  CHECK(fleet.Process("g2").configuration->configuration().resources.size() == 50);
  CHECK(fleet.Process("c2").control->configuration().resources ==
        fleet.Process(fleet.Leader()).control->configuration().resources);
}

TEST_CASE("of two operators with the same version, on two control nodes, one wins") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  const Revision version = fleet.PutMachine("m1");
  const HttpHeaders match = {{"If-Match", fmt::format("\"{}\"", version)}};
  const auto first =
      fleet.Request("c1", "PUT", "/v1/resources/Machine/m1", MachineJson("m1", "10.0.0.2"), match);
  const auto second =
      fleet.Request("c2", "PUT", "/v1/resources/Machine/m1", MachineJson("m1", "10.0.0.3"), match);
  REQUIRE(fleet.RunUntil([&] { return first->finished && second->finished; }, seconds(20)));
  const RecordedAnswer& won = first->status == 200 ? *first : *second;
  const RecordedAnswer& lost = first->status == 200 ? *second : *first;
  INFO(lost.body);
  CHECK(won.status == 200);
  REQUIRE(lost.status == 412);
  const RecordedAnswer stored = fleet.RequestAndWait("c3", "GET", "/v1/resources/Machine/m1");
  CHECK(lost.body.find("\"conflicting\":[" + stored.body + "]") != std::string::npos);
  CHECK(stored.revision == 0);
  CHECK(FindHeader(stored.headers, "ETag") == fmt::format("\"{}\"", won.revision));
  CHECK(FindHeader(lost.headers, "Millstair-Outcome") == "not-run");
}

TEST_CASE("a change resent after the leader died gets its first response") {
  ClusterFleet fleet({});
  const std::string first_leader = fleet.AwaitLeader();
  const RecordedAnswer opened = fleet.RequestAndWait(first_leader, "POST", "/v1/sessions", "{}");
  REQUIRE(opened.status == 200);
  const std::string session = opened.body.substr(12, opened.body.size() - 14);
  const HttpHeaders headers = {{"Idempotency-Key", session + "/1"}, {"If-None-Match", "*"}};
  const std::string body = MachineJson("m1", "10.0.0.2");
  const RecordedAnswer first =
      fleet.RequestAndWait(first_leader, "PUT", "/v1/resources/Machine/m1", body, headers);
  REQUIRE(first.status == 200);
  fleet.Crash(first_leader);
  const std::string second_leader = fleet.AwaitLeader();
  fleet.PutMachine("m2");
  const RecordedAnswer again =
      fleet.RequestAndWait(second_leader, "PUT", "/v1/resources/Machine/m1", body, headers);
  CHECK(again.status == 200);
  CHECK(again.revision == first.revision);
  const RecordedAnswer expired = fleet.RequestAndWait(
      second_leader, "PUT", "/v1/resources/Machine/m1", body, {{"Idempotency-Key", "nobody/1"}});
  CHECK(expired.status == 410);
}

TEST_CASE("an unresponsive node is gone, and live again in its next incarnation") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(3));
  const auto state = [&](const std::string& node) {
    const auto& nodes = fleet.Process(fleet.AwaitLeader()).control->configuration().nodes;
    const auto found = nodes.find(NodeId(node));
    return found == nodes.end() ? MemberState::kGone : found->second.state;
  };
  CHECK(state("g1") == MemberState::kLive);
  CHECK(state("c3") == MemberState::kLive);
  fleet.Crash("g1");
  CHECK(fleet.RunUntil([&] { return state("g1") == MemberState::kGone; }, seconds(7)));
  fleet.Start("g1");
  CHECK(fleet.RunUntil([&] { return state("g1") == MemberState::kLive; }, seconds(3)));
  fleet.Process("g2").configuration->SetLeaving();
  CHECK(fleet.RunUntil([&] { return state("g2") == MemberState::kLeaving; }, seconds(3)));
}

TEST_CASE("machines follow the platform's list; an empty list changes nothing") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.PutMachine("m1");
  const auto state = [&] {
    const auto& machines = fleet.Process("g1").configuration->configuration().machines;
    const auto found = machines.find("m1");
    return found == machines.end() ? MemberState::kLive : found->second.platform_state;
  };
  fleet.machine_list = "{\"machines\":[{\"address\":\"10.0.0.1\",\"state\":\"leaving\"}]}";
  CHECK(fleet.RunUntil([&] { return state() == MemberState::kLeaving; }, seconds(4)));
  fleet.machine_list = "{\"machines\":[]}";
  fleet.RunFor(seconds(5));
  CHECK(state() == MemberState::kLeaving);
  fleet.machine_list = "{\"machines\":[{\"address\":\"10.0.0.9\",\"state\":\"live\"}]}";
  CHECK(fleet.RunUntil([&] { return state() == MemberState::kGone; }, seconds(4)));
}

TEST_CASE("a back end's own report reaches every gateway") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.PutMachine("m1");
  const Resource engine =
      MakeResource("e1", EngineSpec{EngineType::kHttp, "m1", "10.0.0.1:80", false});
  for (const char* node : {"c1", "c2", "c3"}) {
    const RecordedAnswer put =
        fleet.RequestAndWait(node, "PUT", "/v1/resources/Engine/e1", ToJson(engine));
    INFO(put.body);
    REQUIRE(put.status == 200);
  }
  const auto state = [&] {
    return EffectiveState(fleet.Process("g2").configuration->configuration(), EngineName("e1"));
  };
  REQUIRE(fleet.RunUntil([&] { return state() == MemberState::kLive; }, seconds(3)));
  fleet.Process("g1").configuration->Report({EngineName("e1"), Incarnation(4), true});
  CHECK(fleet.RunUntil([&] { return state() == MemberState::kLeaving; }, seconds(4)));
  fleet.Process("g1").configuration->Report({EngineName("e1"), Incarnation(5), false});
  CHECK(fleet.RunUntil([&] { return state() == MemberState::kLive; }, seconds(4)));
}

TEST_CASE("a learner replaces a lost voter, and then a second machine may be lost") {
  ClusterFleet fleet({.control_nodes = 4});
  fleet.AwaitLeader();
  fleet.Start("c4");
  REQUIRE(fleet.RunUntil([&] { return MemberOn(ClusterMembers(fleet), "c4") != nullptr; },
                         seconds(10)));
  CHECK_FALSE(MemberOn(ClusterMembers(fleet), "c4")->voter);
  const std::string lost = fleet.Leader() == "c1" ? "c2" : "c1";
  fleet.Crash(lost);
  REQUIRE(fleet.RunUntil(
      [&] {
        // On every remaining node, so that the last change is committed.
        for (const std::string node : {"c1", "c2", "c3", "c4"}) {
          if (node == lost) continue;
          const auto members =
              fleet.Process(node).control->groups().Find(GroupId("cluster"))->Members();
          const GroupMember* c4 = MemberOn(members, "c4");
          if (c4 == nullptr || !c4->voter || MemberOn(members, lost) != nullptr) return false;
        }
        return true;
      },
      seconds(25)));
  CHECK(Voters(fleet) == 3);
  fleet.Crash(fleet.Leader());
  const Revision revision = fleet.PutMachine("m1");
  CHECK(fleet.RunUntil([&] { return Holds(fleet, "g1", revision) && Holds(fleet, "g2", revision); },
                       seconds(8)));
}

/// Guards against an even number of voters for longer than the two changes take: a partition into
/// halves leaves no quorum.
TEST_CASE("a lost voter is removed as soon as its successor votes") {
  ClusterFleet fleet({.control_nodes = 4});
  fleet.AwaitLeader();
  fleet.Start("c4");
  REQUIRE(fleet.RunUntil([&] { return MemberOn(ClusterMembers(fleet), "c4") != nullptr; },
                         seconds(10)));
  const std::string lost = fleet.Leader() == "c1" ? "c2" : "c1";
  fleet.Crash(lost);
  constexpr Duration kStep = milliseconds(5);
  Duration even{0};
  for (Duration at{0}; at < seconds(25); at += kStep) {
    fleet.RunFor(kStep);
    if (Voters(fleet) == 4) even += kStep;
  }
  const auto members = ClusterMembers(fleet);
  CHECK(MemberOn(members, lost) == nullptr);
  CHECK(MemberOn(members, "c4")->voter);
  CHECK(even <= milliseconds(50));
}

/// Starts c4 and waits until it is a learner beside the voters; returns a voter that does not lead.
std::string AwaitSpareLearner(ClusterFleet& fleet) {
  fleet.AwaitLeader();
  fleet.Start("c4");
  REQUIRE(fleet.RunUntil([&] { return MemberOn(ClusterMembers(fleet), "c4") != nullptr; },
                         seconds(10)));
  fleet.RunFor(seconds(5));
  return fleet.Leader() == "c1" ? "c2" : "c1";
}

/// Guards against a replacement of a voter whose heartbeats are late, such as one that has just
/// restarted: until the voter is removed the group has an even number of voters, and a partition
/// into two halves leaves no quorum.
TEST_CASE("a voter that replies in the group is not replaced for want of heartbeats") {
  ClusterFleet fleet({.control_nodes = 4, .membership = {.replace_voter_after = seconds(3)}});
  const std::string unheard = AwaitSpareLearner(fleet);
  fleet.DropHeartbeatsOf(unheard);
  SECTION("it runs all the time") { fleet.RunFor(seconds(15)); }
  SECTION("it restarts") {
    fleet.RunFor(milliseconds(500));
    fleet.Crash(unheard);
    fleet.RunFor(milliseconds(1500));
    fleet.Start(unheard);
    fleet.RunFor(seconds(15));
  }
  CHECK(MemberOn(ClusterMembers(fleet), unheard)->voter);
  CHECK_FALSE(MemberOn(ClusterMembers(fleet), "c4")->voter);
  // Without replies either, it is lost.
  fleet.Crash(unheard);
  CHECK(fleet.RunUntil(
      [&] {
        const auto members = ClusterMembers(fleet);
        const GroupMember* c4 = MemberOn(members, "c4");
        return c4 != nullptr && c4->voter && MemberOn(members, unheard) == nullptr;
      },
      seconds(10)));
}

/// Guards against a voter that counts as healthy because its node sends heartbeats.
TEST_CASE("a voter that stays unable to write is replaced, and returns as a learner") {
  ClusterFleet fleet({.control_nodes = 4, .membership = {.replace_voter_after = seconds(3)}});
  const std::string refused = AwaitSpareLearner(fleet);
  fleet.SetDiskFull(refused, true);
  fleet.PutMachine("m1");
  fleet.RunFor(seconds(1));
  CHECK(MemberOn(ClusterMembers(fleet), refused)->voter);
  REQUIRE(fleet.RunUntil(
      [&] {
        const auto members = ClusterMembers(fleet);
        const GroupMember* c4 = MemberOn(members, "c4");
        const GroupMember* unable = MemberOn(members, refused);
        return c4 != nullptr && c4->voter && (unable == nullptr || !unable->voter);
      },
      seconds(10)));
  fleet.SetDiskFull(refused, false);
  fleet.RunFor(seconds(10));
  CHECK(Voters(fleet) == 3);
  const auto members = ClusterMembers(fleet);
  REQUIRE(MemberOn(members, refused) != nullptr);
  const LogIndex committed =
      fleet.Process(fleet.AwaitLeader()).control->groups().Find(GroupId("cluster"))->AppliedIndex();
  CHECK(fleet.RunUntil(
      [&] {
        const RaftGroup* group = fleet.Process(refused).control->groups().Find(GroupId("cluster"));
        return group->Failure().ok() && group->AppliedIndex() >= committed;
      },
      seconds(5)));
}

TEST_CASE("a control node on a machine being emptied is replaced first, then reported as emptied") {
  ClusterFleet fleet({.control_nodes = 4});
  const std::string leader = fleet.AwaitLeader();
  fleet.RunFor(seconds(3));
  const std::string retired = GENERATE(true, false) ? leader : leader == "c1" ? "c2" : "c1";
  const auto propose = [&](ClusterOperation operation) {
    fleet.Process(fleet.AwaitLeader()).control->Submit(std::move(operation), [](const auto&) {});
  };
  const auto held = [&]() -> const Configuration& {
    return fleet.Process(fleet.AwaitLeader()).control->configuration();
  };
  propose(RetireNode{{NodeId(retired), false}});
  fleet.RunFor(seconds(5));
  // There is no replacement yet.
  REQUIRE(held().retired_nodes.contains(NodeId(retired)));
  CHECK_FALSE(held().retired_nodes.at(NodeId(retired)).emptied);
  CHECK(Voters(fleet) == 3);
  fleet.Start("c4");
  REQUIRE(fleet.RunUntil([&] { return held().retired_nodes.at(NodeId(retired)).emptied; },
                         seconds(10)));
  // The machine is lost with its disk, and right after it another one fails.
  fleet.Crash(retired);
  fleet.LoseDisk(retired);
  const auto members = ClusterMembers(fleet);
  CHECK(MemberOn(members, retired) == nullptr);
  CHECK(Voters(fleet) == 3);
  fleet.Crash(fleet.AwaitLeader());
  const Revision revision = fleet.PutMachine("m1");
  CHECK(fleet.RunUntil([&] { return Holds(fleet, "g1", revision) && Holds(fleet, "g2", revision); },
                       seconds(8)));
}

TEST_CASE("a control machine that lost its disk comes back as another replica") {
  ClusterFleet fleet({});
  const std::string leader = fleet.AwaitLeader();
  const std::string lost = leader == "c1" ? "c2" : "c1";
  const Revision revision = fleet.PutMachine("m1");
  const ReplicaId before = MemberOn(ClusterMembers(fleet), lost)->replica;
  fleet.Crash(lost);
  fleet.LoseDisk(lost);
  fleet.Start(lost);
  REQUIRE(fleet.RunUntil(
      [&] {
        const auto members = ClusterMembers(fleet);
        const GroupMember* back = MemberOn(members, lost);
        return members.size() == 3 && back != nullptr && back->voter && back->replica != before;
      },
      seconds(40)));
  CHECK(fleet.Process(lost).control->configuration().revision >= revision);
}

TEST_CASE("a planned stop hands leadership over and ends long polls") {
  ClusterFleet fleet({});
  const std::string leader = fleet.AwaitLeader();
  fleet.RunFor(seconds(3));
  const auto watch = fleet.Request(leader, "GET", "/v1/watch?after=100000&wait=50");
  fleet.RunFor(seconds(1));
  CHECK_FALSE(watch->finished);
  bool drained = false;
  fleet.Process(leader).control->Drain([&] { drained = true; });
  REQUIRE(fleet.RunUntil([&] { return drained; }, seconds(5)));
  CHECK(watch->finished);
  CHECK(watch->status == 200);
  CHECK(fleet.AwaitLeader() != leader);
}

TEST_CASE("commands of a gateway reach the leader through a follower") {
  ClusterFleet fleet({.loss = 0.05});
  fleet.AwaitLeader();
  int claimed = 0;
  constexpr int kKeys = 30;
  for (int i = 0; i < kKeys; ++i) {
    const std::string gateway = i % 2 == 0 ? "g1" : "g2";
    ClaimKey claim;
    claim.key = fmt::format("k{}", i);
    claim.gateway = NodeId(gateway);
    claim.incarnation = Incarnation(1);
    claim.attempt = 1;
    fleet.Process(gateway).commands->Submit(
        GroupId("cluster"), CommandMode::kPropose, EncodeCommand({claim, std::nullopt, {}}),
        seconds(20), [&](const absl::StatusOr<std::string>& result) {
          if (result.ok() && DecodeResult(*result)->code == ClusterResultCode::kOk) ++claimed;
        });
  }
  CHECK(fleet.RunUntil([&] { return claimed == kKeys; }, seconds(20)));
}

TEST_CASE("revisions never go back under crashes, isolation and message loss") {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterFleet fleet({.seed = seed, .gateways = 4, .loss = 0.05});
    Revision newest;
    for (int round = 0; round < 6; ++round) {
      newest = fleet.PutMachine(fmt::format("m{}", round));
      const std::string victim = fmt::format("c{}", 1 + (seed + round) % 3);
      if (round % 2 == 0) {
        fleet.Crash(victim);
        fleet.RunFor(seconds(2));
        fleet.PutMachine("other");
        fleet.Start(victim);
      } else {
        fleet.Isolate(victim);
        fleet.RunFor(seconds(6));
        fleet.PutMachine("other");
        fleet.Heal(victim);
      }
    }
    CHECK(fleet.RunUntil(
        [&] {
          for (int i = 1; i <= 4; ++i) {
            if (!Holds(fleet, fmt::format("g{}", i), newest)) return false;
          }
          return true;
        },
        seconds(10)));
    CHECK_FALSE(fleet.revision_decreased);
  }
}

TEST_CASE("invalid requests of operators are refused with a reason") {
  ClusterFleet fleet({});
  const std::string leader = fleet.AwaitLeader();
  struct Case {
    const char* method;
    const char* target;
    const char* body;
    HttpHeaders headers;
    int status;
  };
  const std::vector<Case> cases = {
      {"GET", "/v1/resources/Machine/none", "", {}, 404},
      {"GET", "/v1/resources/Nonsense", "", {}, 404},
      {"GET", "/nowhere", "", {}, 404},
      {"PUT", "/v1/resources/Machine/m", "{", {}, 400},
      {"POST", "/v1/apply", "[]", {}, 400},
      {"POST", "/v1/apply", "{\"items\":[{}]}", {}, 400},
      {"DELETE", "/v1/resources/Machine/m", "", {{"If-Match", "5"}}, 400},
      {"DELETE", "/v1/resources/Machine/m", "", {{"Idempotency-Key", "x"}}, 400},
      {"DELETE", "/v1/resources/Machine/m", "", {}, 404},
      {"GET", "/v1/watch?after=x", "", {}, 400},
      {"GET", "/v1/%zz", "", {}, 400},
      {"POST", "/v1/replicas", "{}", {}, 400},
      {"DELETE", "/v1/replicas/none", "", {}, 404},
      {"DELETE", "/v1/suspects/none", "", {}, 404},
  };
  for (const Case& test : cases) {
    const RecordedAnswer answer =
        fleet.RequestAndWait(leader, test.method, test.target, test.body, test.headers);
    INFO(test.method << " " << test.target << " " << answer.body);
    CHECK(answer.status == test.status);
    CHECK(FindHeader(answer.headers, "Millstair-Outcome") == "not-run");
  }
}

TEST_CASE("operators see which requests crash back ends, and lift what is held against one") {
  ClusterFleet fleet({});
  const std::string leader = fleet.AwaitLeader();
  ReportCrashes report;
  report.reports = {
      {RequestFingerprint("r1"), "a.example/p", {InstanceId("i1"), InstanceId("i2")}}};
  fleet.Process(leader).control->Submit(report, [](const absl::StatusOr<ClusterResult>&) {});
  fleet.RunFor(std::chrono::seconds(1));
  // Every control node knows, also those that don't lead.
  for (const char* node : {"c1", "c2", "c3"}) {
    const RecordedAnswer listed = fleet.RequestAndWait(node, "GET", "/v1/suspects");
    CHECK(listed.status == 200);
    CHECK(
        listed.body.find(R"("request":"r1","place":"a.example/p","standing":"held","crashes":2)") !=
        std::string::npos);
  }
  CHECK(fleet.RequestAndWait("c1", "DELETE", "/v1/suspects/r1").status == 200);
  fleet.RunFor(std::chrono::seconds(1));
  CHECK(fleet.RequestAndWait("c2", "GET", "/v1/suspects").body == R"({"suspects":[]})");
  CHECK(fleet.RequestAndWait("c3", "DELETE", "/v1/suspects/r1").status == 404);
}

}  // namespace
}  // namespace millstair
