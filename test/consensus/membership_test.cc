/// Adding, removing and replacing members, also after the loss of a disk.
#include <catch2/catch.hpp>
#include <optional>

#include "consensus_fleet.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Change = std::function<void(RaftGroup&, std::function<void(absl::Status)>)>;

/// Requests a change from the leader and waits for its result.
absl::Status Await(ConsensusFleet& fleet, const Change& change) {
  std::optional<absl::Status> result;
  RaftGroup* leader = fleet.Leader();
  if (leader == nullptr) return absl::UnavailableError("no leader");
  change(*leader, [&](const absl::Status& status) { result = status; });
  fleet.scheduler.RunUntilTrue([&] { return result.has_value(); }, seconds(10));
  return result.value_or(absl::DeadlineExceededError("never answered"));
}

absl::Status AddLearner(ConsensusFleet& fleet, const GroupMember& member) {
  return Await(fleet, [&](RaftGroup& leader, std::function<void(absl::Status)> done) {
    leader.AddLearner(member, std::move(done));
  });
}
absl::Status Promote(ConsensusFleet& fleet, ReplicaId replica) {
  return Await(fleet, [&](RaftGroup& leader, std::function<void(absl::Status)> done) {
    leader.Promote(replica, std::move(done));
  });
}
absl::Status Remove(ConsensusFleet& fleet, ReplicaId replica) {
  return Await(fleet, [&](RaftGroup& leader, std::function<void(absl::Status)> done) {
    leader.RemoveMember(replica, std::move(done));
  });
}

bool PromoteOnceCaughtUp(ConsensusFleet& fleet, ReplicaId replica) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    if (Promote(fleet, replica).ok()) return true;
    fleet.scheduler.RunFor(milliseconds(100));
  }
  return false;
}

NodeId OtherThan(ConsensusFleet& fleet, const NodeId& node) {
  for (int i = 0; i < 3; ++i) {
    if (fleet.Name(i) != node) return fleet.Name(i);
  }
  return node;
}

TEST_CASE("a lost disk is replaced, and a second loss right after the repair is survived") {
  FleetOptions options;
  options.limits.snapshot_after_entries = 100;
  ConsensusFleet fleet(3, 21, options);
  REQUIRE(fleet.RunUntilLeader());
  int count = 0;
  const auto propose_some = [&] {
    for (int i = 0; i < 300; ++i) REQUIRE(fleet.Propose(std::to_string(count++)).ok());
  };
  propose_some();
  for (int loss = 0; loss < 4; ++loss) {
    const NodeId lost = OtherThan(fleet, fleet.LeaderNode());
    const ReplicaId old = fleet.nodes.at(lost)->host->identity().replica;
    fleet.LoseDisk(lost);
    fleet.Restart(lost);
    const GroupMember member = fleet.MemberOf(lost);
    REQUIRE(member.replica != old);
    REQUIRE(AddLearner(fleet, member).ok());
    REQUIRE(PromoteOnceCaughtUp(fleet, member.replica));
    REQUIRE(Remove(fleet, old).ok());
    propose_some();
  }
  fleet.Crash(fleet.LeaderNode());
  REQUIRE(fleet.RunUntilLeader());
  const auto& commands = fleet.Machine(fleet.LeaderNode())->commands;
  REQUIRE(commands.size() == static_cast<size_t>(count));
  REQUIRE(fleet.ledgers[kTestGroup].Holds(commands));
}

TEST_CASE("a learner is not promoted before it has caught up, and does not vote") {
  ConsensusFleet fleet(3, 22);
  REQUIRE(fleet.RunUntilLeader());
  for (int i = 0; i < 200; ++i) REQUIRE(fleet.Propose(std::to_string(i)).ok());
  const NodeId fresh = fleet.AddNode();
  const GroupMember member = fleet.MemberOf(fresh);
  fleet.network.Isolate(fresh);
  REQUIRE(AddLearner(fleet, member).ok());
  fleet.scheduler.RunFor(seconds(2));
  REQUIRE(absl::IsFailedPrecondition(Promote(fleet, member.replica)));
  fleet.network.Heal();
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] {
        ListMachine* machine = fleet.Machine(fresh);
        return machine != nullptr && machine->commands.size() == 200;
      },
      seconds(5)));
  // Two of three voters crash: the learner must not count for elections or commits.
  for (int i = 0; i < 3; ++i) {
    if (fleet.Name(i) != fleet.LeaderNode()) fleet.Crash(fleet.Name(i));
  }
  fleet.scheduler.RunFor(seconds(5));
  REQUIRE(fleet.Leader() == nullptr);
}

TEST_CASE("membership changes go one at a time and can be repeated") {
  ConsensusFleet fleet(3, 23);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId a = fleet.AddNode();
  const NodeId b = fleet.AddNode();
  std::optional<absl::Status> first;
  std::optional<absl::Status> second;
  fleet.Leader()->AddLearner(fleet.MemberOf(a), [&](const absl::Status& s) { first = s; });
  fleet.Leader()->AddLearner(fleet.MemberOf(b), [&](const absl::Status& s) { second = s; });
  REQUIRE(fleet.scheduler.RunUntilTrue([&] { return first && second; }, seconds(5)));
  REQUIRE(first->ok());
  REQUIRE(absl::IsFailedPrecondition(*second));
  REQUIRE(AddLearner(fleet, fleet.MemberOf(b)).ok());
  REQUIRE(AddLearner(fleet, fleet.MemberOf(b)).ok());
  REQUIRE(fleet.Leader()->Members().size() == 5);
  REQUIRE(Remove(fleet, fleet.MemberOf(b).replica).ok());
  REQUIRE(Remove(fleet, fleet.MemberOf(b).replica).ok());
  REQUIRE(fleet.Leader()->Members().size() == 4);
}

TEST_CASE("a removal that waits for its commit leaves the members uncommitted") {
  ConsensusFleet fleet(4, 27);
  REQUIRE(fleet.RunUntilLeader());
  RaftGroup* leader = fleet.Leader();
  REQUIRE(fleet.scheduler.RunUntilTrue([&] { return leader->HasCommittedMembers(); }, seconds(5)));
  const NodeId removed = OtherThan(fleet, fleet.LeaderNode());
  fleet.network.Isolate(fleet.LeaderNode());
  leader->RemoveMember(fleet.MemberOf(removed).replica, nullptr);
  CHECK(leader->Members().size() == 3);
  CHECK_FALSE(leader->HasCommittedMembers());
  fleet.network.Heal();
  fleet.scheduler.RunFor(seconds(5));
  REQUIRE(fleet.RunUntilLeader());
  CHECK(fleet.Leader()->HasCommittedMembers());
}

TEST_CASE("a removed member neither disturbs the group nor leads it") {
  ConsensusFleet fleet(4, 24);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId removed = OtherThan(fleet, fleet.LeaderNode());
  REQUIRE(Remove(fleet, fleet.MemberOf(removed).replica).ok());
  const Term term = fleet.Leader()->CurrentTerm();
  const NodeId leader = fleet.LeaderNode();
  fleet.Crash(removed);
  fleet.Restart(removed);
  fleet.scheduler.RunFor(seconds(30));
  REQUIRE(fleet.LeaderNode() == leader);
  REQUIRE(fleet.Leader()->CurrentTerm() == term);
}

TEST_CASE("a leader that removes itself steps down") {
  ConsensusFleet fleet(3, 25);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId old = fleet.LeaderNode();
  REQUIRE(Remove(fleet, fleet.MemberOf(old).replica).ok());
  fleet.scheduler.RunFor(seconds(5));
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.LeaderNode() != old);
  REQUIRE(fleet.Leader()->Members().size() == 2);
  REQUIRE(fleet.Propose("x").ok());
}

TEST_CASE("many groups share batches, and a dropped group is removed with its files") {
  FleetOptions options;
  options.groups.clear();
  for (int i = 0; i < 20; ++i) options.groups.push_back(GroupId("stream/s" + std::to_string(i)));
  ConsensusFleet fleet(3, 26, options);
  for (const GroupId& group : options.groups) {
    REQUIRE(fleet.RunUntilLeader(seconds(30), group));
    REQUIRE(fleet.Propose("first", group).ok());
  }
  fleet.scheduler.RunFor(seconds(1));
  const uint64_t before = fleet.network.messages;
  fleet.scheduler.RunFor(seconds(10));
  // At most ten heartbeat batches and ten replies a second per ordered pair of nodes, plus 10%.
  REQUIRE(fleet.network.messages - before < 3 * 2 * 2 * 10 * 11);
  std::optional<absl::Status> waiting;
  fleet.Group(fleet.Name(0), options.groups[3])
      ->ConfirmRead([&](const absl::StatusOr<LogIndex>& read) { waiting = read.status(); });
  REQUIRE(fleet.Node(0).host->DropGroup(options.groups[3]).ok());
  fleet.scheduler.RunFor(milliseconds(1));
  REQUIRE(waiting.has_value());
  REQUIRE(absl::IsUnavailable(*waiting));
  REQUIRE(fleet.Node(0).host->Find(options.groups[3]) == nullptr);
  for (const std::string& path : fleet.Node(0).files->Paths()) {
    REQUIRE(path.find("s3/") == std::string::npos);
  }
}

TEST_CASE("a replica whose disk fails stops, and the group continues") {
  ConsensusFleet fleet(3, 27);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId broken = fleet.LeaderNode();
  fleet.nodes.at(broken)->files->FailNextSyncs(1);
  const auto result = fleet.Propose("doomed");
  REQUIRE(absl::IsUnavailable(result.status()));
  fleet.scheduler.RunFor(seconds(3));
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.LeaderNode() != broken);
  REQUIRE(fleet.Propose("fine").ok());
  fleet.Crash(broken);
  fleet.Restart(broken);
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.ledgers[kTestGroup].Holds(fleet.Machine(broken)->commands); },
      seconds(10)));
}

TEST_CASE("a damaged log keeps the node from starting and names the file") {
  ConsensusFleet fleet(3, 28);
  REQUIRE(fleet.RunUntilLeader());
  for (int i = 0; i < 10; ++i) REQUIRE(fleet.Propose("x").ok());
  const NodeId node = fleet.Name(0);
  fleet.Crash(node);
  std::string log;
  for (const std::string& path : fleet.Node(0).files->Paths()) {
    if (path.find(".log") != std::string::npos) log = path;
  }
  REQUIRE(fleet.Node(0).files->Damage(log, 100, 0xff).ok());
  fleet.Restart(node);
  REQUIRE(absl::IsDataLoss(fleet.Node(0).start_status));
  REQUIRE(fleet.Node(0).start_status.message().find(log) != std::string::npos);
}

}  // namespace
}  // namespace millstair
