/// Replicas whose disk refuses writes, fails syncs or cannot be read for a while.
#include <catch2/catch.hpp>
#include <optional>

#include "consensus_fleet.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which a replica takes part again once its disk works.
constexpr Duration kHealTime = seconds(3);

NodeId AnyFollower(ConsensusFleet& fleet) {
  for (const auto& [id, node] : fleet.nodes) {
    if (id != fleet.LeaderNode()) return id;
  }
  return NodeId();
}

MemoryFileSystem& Disk(ConsensusFleet& fleet, const NodeId& id) {
  return *fleet.nodes.at(id)->files;
}

bool CatchesUp(ConsensusFleet& fleet, const NodeId& id) {
  return fleet.scheduler.RunUntilTrue(
      [&] { return fleet.ledgers[kTestGroup].Holds(fleet.Machine(id)->commands); }, kHealTime);
}

TEST_CASE("A replica whose write was refused takes part again once the disk takes writes") {
  ConsensusFleet fleet(3, 41);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId refused = AnyFollower(fleet);
  Disk(fleet, refused).SetFull(true);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(fleet.Propose("while refused").ok());
    fleet.scheduler.RunFor(seconds(1));
  }
  CHECK_FALSE(fleet.Group(refused)->Failure().ok());
  Disk(fleet, refused).SetFull(false);
  CHECK(CatchesUp(fleet, refused));
  CHECK(fleet.Group(refused)->Failure().ok());

  // It counts for the quorum again.
  for (const auto& [id, node] : fleet.nodes) {
    if (id == refused || id == fleet.LeaderNode()) continue;
    fleet.Crash(id);
    break;
  }
  REQUIRE(fleet.RunUntilLeader());
  CHECK(fleet.Propose("with the healed replica").ok());
}

TEST_CASE("A replica heals after each of several refusals, of all disks at once too") {
  ConsensusFleet fleet(3, 42);
  REQUIRE(fleet.RunUntilLeader());
  for (int round = 0; round < 4; ++round) {
    for (const auto& [id, node] : fleet.nodes) node->files->SetFull(true);
    fleet.Leader()->Propose("refused", nullptr);
    fleet.scheduler.RunFor(seconds(1 + round));
    for (const auto& [id, node] : fleet.nodes) node->files->SetFull(false);
    REQUIRE(fleet.RunUntilLeader(kHealTime + seconds(2)));
    REQUIRE(fleet.Propose("accepted").ok());
    for (const auto& [id, node] : fleet.nodes) REQUIRE(CatchesUp(fleet, id));
  }
}

TEST_CASE("A leader that cannot write gives up leading before an election timeout") {
  ConsensusFleet fleet(3, 43);
  REQUIRE(fleet.RunUntilLeader());
  fleet.scheduler.RunFor(seconds(2));
  const NodeId broken = fleet.LeaderNode();
  Disk(fleet, broken).SetFull(true);
  std::optional<absl::Status> proposed;
  std::optional<absl::Status> read;
  fleet.Leader()->Propose(
      "refused", [&](const absl::StatusOr<std::string>& result) { proposed = result.status(); });
  fleet.Leader()->ConfirmRead(
      [&](const absl::StatusOr<LogIndex>& result) { read = result.status(); });
  fleet.scheduler.RunFor(milliseconds(10));
  REQUIRE(proposed.has_value());
  CHECK(absl::IsUnavailable(*proposed));
  REQUIRE(read.has_value());
  CHECK_FALSE(fleet.Group(broken)->IsLeader());
  // Far below the election timeout of 1 s.
  CHECK(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.Leader() != nullptr && fleet.LeaderNode() != broken; },
      milliseconds(100)));
  CHECK(fleet.Propose("at the next leader").ok());
}

/// A follower whose sync of an entry failed acknowledges it later; then both replicas that hold it
/// lose power. `between` runs right after the failure.
void KeepsAcknowledgedAfterFailedSync(uint64_t seed,
                                      const std::function<void(ConsensusFleet&, NodeId)>& between) {
  ConsensusFleet fleet(3, seed);
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.Propose("first").ok());
  const NodeId leader = fleet.LeaderNode();
  const NodeId follower = AnyFollower(fleet);
  NodeId other;
  for (const auto& [id, node] : fleet.nodes) {
    if (id != leader && id != follower) other = id;
  }
  fleet.Crash(other);
  Disk(fleet, follower).FailNextSyncs(1);
  std::optional<absl::Status> outcome;
  fleet.Leader()->Propose(
      "kept", [&](const absl::StatusOr<std::string>& result) { outcome = result.status(); });
  fleet.scheduler.RunFor(milliseconds(20));
  between(fleet, follower);
  REQUIRE(fleet.scheduler.RunUntilTrue([&] { return outcome.has_value(); }, seconds(6)));
  REQUIRE(outcome->ok());
  for (const NodeId& id : {leader, follower}) fleet.Crash(id);
  // The leader does not return, so that the follower's disk is the only one with the entry.
  fleet.Restart(follower);
  fleet.scheduler.RunFor(milliseconds(1));
  fleet.Restart(other);
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(CatchesUp(fleet, follower));
  CHECK(fleet.Machine(follower)->commands == std::vector<std::string>{"first", "kept"});
}

TEST_CASE("Entries that a failed sync covered are written again before they are acknowledged") {
  KeepsAcknowledgedAfterFailedSync(44, [](ConsensusFleet&, const NodeId&) {});
}

TEST_CASE("Entries that a failed sync covered are written again by the next process") {
  KeepsAcknowledgedAfterFailedSync(45, [](ConsensusFleet& fleet, const NodeId& follower) {
    fleet.KillProcess(follower);
    fleet.Restart(follower);
  });
}

TEST_CASE("A leader whose snapshot cannot be saved goes on, and saves a later one") {
  FleetOptions options;
  options.limits.snapshot_after_entries = 20;
  ConsensusFleet fleet(3, 46, options);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId leader = fleet.LeaderNode();
  const auto snapshots = [&] {
    size_t count = 0;
    for (const std::string& path : Disk(fleet, leader).Paths()) {
      if (path.find("snapshot-") != std::string::npos) ++count;
    }
    return count;
  };
  Disk(fleet, leader).RefuseFiles("snapshot-");
  for (int i = 0; i < 60; ++i) REQUIRE(fleet.Propose("command").ok());
  CHECK(fleet.LeaderNode() == leader);
  CHECK(snapshots() == 0);
  Disk(fleet, leader).RefuseFiles("");
  fleet.scheduler.RunFor(seconds(10));
  REQUIRE(fleet.Propose("command").ok());
  fleet.scheduler.RunFor(seconds(1));
  CHECK(snapshots() == 1);
}

TEST_CASE("A received snapshot that cannot be saved is installed once the disk takes writes") {
  FleetOptions options;
  options.limits.snapshot_after_entries = 20;
  ConsensusFleet fleet(3, 47, options);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId behind = AnyFollower(fleet);
  fleet.Crash(behind);
  for (int i = 0; i < 100; ++i) REQUIRE(fleet.Propose("command").ok());
  fleet.Restart(behind);
  Disk(fleet, behind).RefuseFiles("snapshot-");
  fleet.scheduler.RunFor(seconds(8));
  CHECK_FALSE(fleet.ledgers[kTestGroup].Holds(fleet.Machine(behind)->commands));
  Disk(fleet, behind).RefuseFiles("");
  CHECK(CatchesUp(fleet, behind));
}

TEST_CASE("Replicas whose log could not be read for a while take part again") {
  FleetOptions options;
  options.limits.snapshot_after_entries = 100000;
  ConsensusFleet fleet(3, 48, options);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId behind = AnyFollower(fleet);
  fleet.network.Isolate(behind);
  // More than the log keeps in memory.
  for (int i = 0; i < 30; ++i) REQUIRE(fleet.Propose(std::string(100000, 'x')).ok());
  for (const auto& [id, node] : fleet.nodes) node->files->SetUnreadable(true);
  fleet.network.Heal();
  fleet.scheduler.RunFor(seconds(5));
  CHECK_FALSE(fleet.ledgers[kTestGroup].Holds(fleet.Machine(behind)->commands));
  for (const auto& [id, node] : fleet.nodes) node->files->SetUnreadable(false);
  REQUIRE(fleet.RunUntilLeader(kHealTime));
  CHECK(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.ledgers[kTestGroup].Holds(fleet.Machine(behind)->commands); },
      seconds(10)));
}

TEST_CASE("A group that could not be opened when its leader wrote is opened later") {
  ConsensusFleet fleet(3, 49);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId joining = fleet.AddNode();
  Disk(fleet, joining).SetFull(true);
  std::optional<absl::Status> added;
  fleet.Leader()->AddLearner(fleet.MemberOf(joining),
                             [&](const absl::Status& status) { added = status; });
  fleet.scheduler.RunFor(seconds(4));
  REQUIRE(added.has_value());
  REQUIRE(added->ok());
  CHECK(fleet.Group(joining) == nullptr);
  Disk(fleet, joining).SetFull(false);
  CHECK(fleet.scheduler.RunUntilTrue([&] { return fleet.Group(joining) != nullptr; }, seconds(6)));
  CHECK(CatchesUp(fleet, joining));
}

TEST_CASE("A member that stays unable to write is unresponsive to its leader until it heals") {
  ConsensusFleet fleet(3, 50);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId refused = AnyFollower(fleet);
  const ReplicaId replica = fleet.MemberOf(refused).replica;
  const auto unresponsive = [&] {
    const TimePoint now = fleet.nodes.at(fleet.LeaderNode())->environment->Now();
    return fleet.Leader()->IsUnresponsive(replica, now - seconds(3));
  };
  Disk(fleet, refused).SetFull(true);
  REQUIRE(fleet.Propose("refused").ok());
  fleet.scheduler.RunFor(seconds(5));
  CHECK(unresponsive());
  Disk(fleet, refused).SetFull(false);
  fleet.scheduler.RunFor(kHealTime);
  CHECK_FALSE(unresponsive());
}

}  // namespace
}  // namespace millstair
