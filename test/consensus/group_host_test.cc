#include "consensus/group_host.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "consensus_fleet.h"

namespace millstair {
namespace {

using std::chrono::seconds;

TEST_CASE("three nodes elect a leader and apply proposals everywhere") {
  ConsensusFleet fleet(3, 1);
  REQUIRE(fleet.RunUntilLeader());
  for (int i = 0; i < 20; ++i) {
    const auto result = fleet.Propose("c" + std::to_string(i));
    REQUIRE(result.ok());
    REQUIRE(*result == std::to_string(i + 1) + ":c" + std::to_string(i));
  }
  fleet.scheduler.RunFor(seconds(1));
  for (const auto& [id, node] : fleet.nodes) {
    REQUIRE(fleet.Machine(id)->commands.size() == 20);
    REQUIRE(fleet.Machine(id)->commands == fleet.Machine(fleet.LeaderNode())->commands);
  }
}

TEST_CASE("proposals at a follower are refused, reads there are confirmed by the leader") {
  ConsensusFleet fleet(3, 2);
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.Propose("a").ok());
  for (const auto& [id, node] : fleet.nodes) {
    if (id == fleet.LeaderNode()) continue;
    std::optional<absl::Status> refused;
    fleet.Group(id)->Propose(
        "b", [&](const absl::StatusOr<std::string>& result) { refused = result.status(); });
    std::optional<absl::StatusOr<LogIndex>> read;
    fleet.Group(id)->ConfirmRead([&](const absl::StatusOr<LogIndex>& index) { read = index; });
    REQUIRE(fleet.scheduler.RunUntilTrue([&] { return refused && read; }, seconds(2)));
    REQUIRE(absl::IsUnavailable(*refused));
    REQUIRE(read->ok());
    REQUIRE(fleet.Machine(id)->commands == std::vector<std::string>{"a"});
    REQUIRE(fleet.Group(id)->Leader() == fleet.LeaderNode());
  }
}

TEST_CASE("a minority neither commits nor confirms reads") {
  ConsensusFleet fleet(3, 3);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId old = fleet.LeaderNode();
  for (const auto& [id, node] : fleet.nodes) {
    if (id != old) fleet.network.CutBoth(old, id);
  }
  std::optional<absl::Status> proposed;
  std::optional<absl::Status> read;
  fleet.Group(old)->Propose(
      "lost", [&](const absl::StatusOr<std::string>& result) { proposed = result.status(); });
  fleet.Group(old)->ConfirmRead(
      [&](const absl::StatusOr<LogIndex>& index) { read = index.status(); });
  fleet.scheduler.RunFor(seconds(10));
  REQUIRE(proposed.has_value());
  REQUIRE(absl::IsUnavailable(*proposed));
  REQUIRE(read.has_value());
  REQUIRE(absl::IsDeadlineExceeded(*read));
  REQUIRE_FALSE(fleet.Group(old)->IsLeader());
  REQUIRE(fleet.LeaderNode() != old);
  REQUIRE(fleet.Propose("kept").ok());
  fleet.network.Heal();
  fleet.scheduler.RunFor(seconds(5));
  REQUIRE(fleet.Machine(old)->commands == std::vector<std::string>{"kept"});
}

TEST_CASE("state survives the crash of all nodes at once") {
  ConsensusFleet fleet(3, 4);
  REQUIRE(fleet.RunUntilLeader());
  for (int i = 0; i < 30; ++i) REQUIRE(fleet.Propose(std::to_string(i)).ok());
  for (int i = 0; i < 3; ++i) fleet.Crash(fleet.Name(i));
  for (int i = 0; i < 3; ++i) fleet.Restart(fleet.Name(i));
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.Machine(fleet.LeaderNode())->commands.size() == 30);
}

TEST_CASE("a replica hundreds of entries behind catches up, also by snapshot") {
  FleetOptions options;
  options.limits.snapshot_after_entries = GENERATE(100, 10000);
  options.limits.snapshot_chunk_bytes = 512;
  ConsensusFleet fleet(3, 5, options);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId behind = fleet.LeaderNode() == fleet.Name(0) ? fleet.Name(1) : fleet.Name(0);
  fleet.Crash(behind);
  for (int i = 0; i < 700; ++i) REQUIRE(fleet.Propose("value" + std::to_string(i)).ok());
  fleet.Restart(behind);
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.Machine(behind)->commands.size() == 700; }, seconds(10)));
  REQUIRE(fleet.Machine(behind)->commands == fleet.Machine(fleet.LeaderNode())->commands);
  fleet.Crash(behind);
  fleet.Restart(behind);
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.Machine(behind)->commands.size() == 700; }, seconds(10)));
}

TEST_CASE("a replica with a long log does not apply it without looking at messages in between") {
  constexpr size_t kCommands = 700;
  constexpr size_t kCommandBytes = 2048;
  ConsensusFleet fleet(3, 6);
  REQUIRE(fleet.RunUntilLeader());
  for (size_t i = 0; i < kCommands; ++i) {
    REQUIRE(fleet.Propose(std::string(kCommandBytes, 'x')).ok());
  }
  for (int i = 0; i < 3; ++i) fleet.Crash(fleet.Name(i));
  for (int i = 0; i < 3; ++i) fleet.Restart(fleet.Name(i));
  size_t applied = 0;
  size_t most_at_once = 0;
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] {
        const size_t now = fleet.Machine(fleet.Name(0))->commands.size();
        most_at_once = std::max(most_at_once, now - std::min(now, applied));
        applied = now;
        return applied == kCommands;
      },
      seconds(10)));
  CHECK(most_at_once <= kCommands / 10);
}

TEST_CASE("a replica with a long log that was compacted at the leader catches up by snapshot") {
  FleetOptions options;
  options.limits.snapshot_after_entries = 100;
  ConsensusFleet fleet(3, GENERATE(range(1, 9)), options);
  REQUIRE(fleet.RunUntilLeader());
  const NodeId behind = fleet.LeaderNode() == fleet.Name(0) ? fleet.Name(1) : fleet.Name(0);
  const std::string command(4096, 'x');
  for (int i = 0; i < 90; ++i) REQUIRE(fleet.Propose(command).ok());
  fleet.Crash(behind);
  for (int i = 0; i < 400; ++i) REQUIRE(fleet.Propose(command).ok());
  fleet.Restart(behind);
  CHECK(fleet.scheduler.RunUntilTrue([&] { return fleet.Machine(behind)->commands.size() == 490; },
                                     seconds(10)));
  REQUIRE(fleet.Propose(command).ok());
  CHECK(fleet.scheduler.RunUntilTrue([&] { return fleet.Machine(behind)->commands.size() == 491; },
                                     seconds(10)));
}

TEST_CASE("leadership transfer does not wait for an election timeout") {
  ConsensusFleet fleet(3, 6);
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.Propose("a").ok());
  const NodeId old = fleet.LeaderNode();
  std::optional<absl::Status> done;
  fleet.Leader()->TransferLeadership([&](const absl::Status& status) { done = status; });
  REQUIRE(fleet.scheduler.RunUntilTrue([&] { return done.has_value(); }, seconds(2)));
  REQUIRE(done->ok());
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.Leader() != nullptr && fleet.LeaderNode() != old; },
      std::chrono::milliseconds(50)));
  REQUIRE(fleet.Propose("b").ok());
}

TEST_CASE("an identity is persistent and belongs to one node of one cluster") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 1);
  MemoryFileSystem files(environment, 1);
  const NodeId node("a");
  REQUIRE(InitializeInitialMember(files, "c", node, "127.0.0.1:1").ok());
  REQUIRE(absl::IsFailedPrecondition(InitializeInitialMember(files, "c", node, "127.0.0.1:1")));
  auto identity = LoadOrCreateIdentity(files, environment.Random(), "c", node, "127.0.0.1:2");
  REQUIRE(identity.ok());
  REQUIRE(identity->replica == InitialMemberReplicaId("c", node));
  REQUIRE(identity->address == "127.0.0.1:2");
  REQUIRE(absl::IsFailedPrecondition(
      LoadOrCreateIdentity(files, environment.Random(), "d", node, "").status()));
  files.LoseDisk();
  const auto fresh = LoadOrCreateIdentity(files, environment.Random(), "c", node, "");
  REQUIRE(fresh->replica != InitialMemberReplicaId("c", node));
  REQUIRE(LoadOrCreateIdentity(files, environment.Random(), "c", node, "")->replica ==
          fresh->replica);
  REQUIRE(files.Damage("identity", 3, 4).ok());
  REQUIRE(
      absl::IsDataLoss(LoadOrCreateIdentity(files, environment.Random(), "c", node, "").status()));
}

// Guards against a leader that takes heartbeats for proof that it can commit.
TEST_CASE("a leader whose followers answer but store nothing knows how long its proposals wait") {
  ConsensusFleet fleet(3, 21);
  REQUIRE(fleet.RunUntilLeader());
  fleet.scheduler.RunFor(std::chrono::seconds(1));
  RaftGroup* leader = fleet.Leader();
  CHECK(leader->UncommittedFor() == Duration(0));
  for (auto& [id, node] : fleet.nodes) {
    if (fleet.Group(id) == leader) continue;
    node->files->SetSyncTime(std::chrono::seconds(8), std::chrono::seconds(8));
  }
  bool failed = false;
  leader->Propose("waits",
                  [&](const absl::StatusOr<std::string>& result) { failed = !result.ok(); });
  fleet.scheduler.RunFor(std::chrono::seconds(7));
  REQUIRE(leader->IsLeader());
  // The proposer was told that the outcome is unknown; the entry still waits.
  CHECK(failed);
  CHECK(leader->UncommittedFor() > std::chrono::milliseconds(6900));
  for (auto& [id, node] : fleet.nodes) {
    node->files->SetSyncTime(std::chrono::milliseconds(1), std::chrono::milliseconds(1));
  }
  fleet.scheduler.RunFor(std::chrono::seconds(3));
  CHECK(leader->UncommittedFor() == Duration(0));
}

}  // namespace
}  // namespace millstair
