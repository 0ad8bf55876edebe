/// Schedules that are too rare for random runs. Each violates safety if one rule of the algorithm
/// is disabled, and does not if it is enabled.
#include <catch2/catch.hpp>
#include <map>
#include <optional>

#include "consensus_fleet.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetOptions WithFaults(const ConsensusFaults& faults) {
  FleetOptions options;
  options.faults = faults;
  return options;
}

/// A voter grants its vote, crashes before the vote is durable, and gets another request after its
/// restart. Returns whether two leaders were seen in one term.
bool VoterLosesVote(const ConsensusFaults& faults) {
  ConsensusFleet fleet(3, 11, WithFaults(faults));
  const NodeId first = fleet.Name(0);
  const NodeId voter = fleet.Name(1);
  const NodeId second = fleet.Name(2);
  std::map<Term, NodeId> leaders;
  bool violated = false;
  const auto watch = [&] {
    for (const auto& [id, node] : fleet.nodes) {
      RaftGroup* group = fleet.Group(id);
      if (group == nullptr || !group->IsLeader()) continue;
      const auto it = leaders.emplace(group->CurrentTerm(), id).first;
      violated = violated || it->second != id;
    }
    return violated;
  };
  fleet.scheduler.RunFor(milliseconds(500));
  fleet.network.Isolate(second);
  fleet.Node(1).files->SetSyncTime(seconds(100), seconds(100));
  fleet.scheduler.RunUntilTrue([&] { return watch() || fleet.Leader() != nullptr; }, seconds(4));
  fleet.Crash(voter);
  fleet.Node(1).files->SetSyncTime(milliseconds(1), milliseconds(1));
  fleet.network.Heal();
  fleet.network.Isolate(first);
  fleet.Restart(voter);
  // The restarted voter may become a candidate itself, so either node may win.
  fleet.scheduler.RunUntilTrue(watch, seconds(20));
  return violated;
}

TEST_CASE("a vote that is not durable elects two leaders of one term") {
  ConsensusFaults faults;
  REQUIRE_FALSE(VoterLosesVote(faults));
  faults.vote_not_synced = true;
  REQUIRE(VoterLosesVote(faults));
}

/// All nodes lose power while their disks are slow. Returns whether an acknowledged command was
/// lost.
bool AcknowledgedIsLost(const ConsensusFaults& faults) {
  ConsensusFleet fleet(3, 14, WithFaults(faults));
  if (!fleet.RunUntilLeader()) return false;
  bool acknowledged = false;
  fleet.scheduler.RunFor(seconds(1));
  for (auto& [id, node] : fleet.nodes) node->files->SetSyncTime(seconds(2), seconds(2));
  fleet.Leader()->Propose(
      "kept", [&](const absl::StatusOr<std::string>& result) { acknowledged = result.ok(); });
  fleet.scheduler.RunFor(milliseconds(500));
  for (const auto& [id, node] : fleet.nodes) fleet.Crash(id);
  for (const auto& [id, node] : fleet.nodes) {
    node->files->SetSyncTime(milliseconds(1), milliseconds(1));
    fleet.Restart(id);
  }
  if (!fleet.RunUntilLeader()) return false;
  return acknowledged && fleet.Machine(fleet.LeaderNode())->commands.empty();
}

TEST_CASE("entries are durable before they are acknowledged") {
  ConsensusFaults faults;
  REQUIRE_FALSE(AcknowledgedIsLost(faults));
  faults.ack_before_sync = true;
  REQUIRE(AcknowledgedIsLost(faults));
}

/// Figure 8 of the Raft paper with three replicas: an entry of an earlier term reaches a quorum and
/// is overwritten later. Returns whether an applied command was lost.
bool EarlierTermIsOverwritten(const ConsensusFaults& faults) {
  ConsensusFleet fleet(3, 12, WithFaults(faults));
  if (!fleet.RunUntilLeader()) return false;
  fleet.scheduler.RunFor(seconds(1));
  const NodeId first = fleet.LeaderNode();
  // An entry that only the first leader has, too large to share an append with the next one.
  fleet.network.Isolate(first);
  fleet.Group(first)->Propose(std::string(5000, 'a'), [](const absl::StatusOr<std::string>&) {});
  const LogIndex entry(fleet.Group(first)->AppliedIndex().value() + 1);
  const auto other_leads = [&] { return fleet.Leader() != nullptr && fleet.LeaderNode() != first; };
  if (!fleet.scheduler.RunUntilTrue(other_leads, seconds(10))) return false;
  // A second leader writes a different entry at the same index and is isolated too.
  const NodeId second = fleet.LeaderNode();
  fleet.network.Isolate(second);
  fleet.Group(second)->Propose("b", [](const absl::StatusOr<std::string>&) {});
  fleet.scheduler.RunFor(seconds(3));
  // The first one leads again and replicates its old entry to the third replica.
  fleet.network.Heal();
  fleet.network.Isolate(second);
  fleet.scheduler.RunUntilTrue([&] { return fleet.Group(first)->AppliedIndex() >= entry; },
                               seconds(20));
  if (fleet.Group(first)->AppliedIndex() < entry) return false;
  fleet.network.Isolate(first);
  fleet.scheduler.RunFor(milliseconds(10));
  fleet.Crash(first);
  fleet.network.Heal();
  if (!fleet.RunUntilLeader()) return false;
  fleet.scheduler.RunFor(seconds(2));
  return !fleet.ledgers[kTestGroup].Holds(fleet.Machine(fleet.LeaderNode())->commands);
}

TEST_CASE("entries of earlier terms are not committed by counting replicas") {
  ConsensusFaults faults;
  REQUIRE_FALSE(EarlierTermIsOverwritten(faults));
  faults.commit_earlier_terms = true;
  REQUIRE(EarlierTermIsOverwritten(faults));
}

/// An isolated leader removes the other members. Returns whether it committed alone.
bool IsolatedLeaderRemovesMembers(const ConsensusFaults& faults) {
  ConsensusFleet fleet(3, 13, WithFaults(faults));
  if (!fleet.RunUntilLeader()) return false;
  fleet.scheduler.RunFor(seconds(1));
  const NodeId old = fleet.LeaderNode();
  fleet.network.Isolate(old);
  for (const GroupMember& member : fleet.InitialMembers()) {
    if (member.node != old) fleet.Group(old)->RemoveMember(member.replica, nullptr);
  }
  bool committed = false;
  fleet.Group(old)->Propose(
      "alone", [&](const absl::StatusOr<std::string>& result) { committed = result.ok(); });
  fleet.scheduler.RunFor(seconds(5));
  return committed;
}

TEST_CASE("a leader without a quorum can't remove the others") {
  ConsensusFaults faults;
  REQUIRE_FALSE(IsolatedLeaderRemovesMembers(faults));
  faults.unchecked_membership_change = true;
  REQUIRE(IsolatedLeaderRemovesMembers(faults));
}

}  // namespace
}  // namespace millstair
