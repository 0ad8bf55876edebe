#include "cluster/replica_manager.h"

#include <algorithm>
#include <utility>

#include "cluster/replica_spread.h"
#include "common/event_log.h"

namespace millstair {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
/// Learners kept beside the voters, so that each lost voter can be replaced within its zone, and
/// the loss of a zone leaves the learners of the others. Every replica receives and syncs each
/// entry, so the number does not grow with the control nodes.
constexpr size_t kLearnersPerZone = 1;

const GroupMember* FindReplica(const std::vector<GroupMember>& members, ReplicaId replica) {
  for (const GroupMember& member : members) {
    if (member.replica == replica) return &member;
  }
  return nullptr;
}

}  // namespace

ReplicaManager::ReplicaManager(Environment& environment, GroupHost& groups, ClusterReplica& cluster,
                               const NodeTable& nodes, const ControlNodeOptions& options)
    : environment_(environment),
      groups_(groups),
      cluster_(cluster),
      nodes_(nodes),
      replace_after_(options.membership_timing.replace_voter_after),
      node_lease_(options.membership_timing.node_lease),
      target_voters_(options.voters != 0 ? options.voters : options.initial_members.size()),
      self_(options.self.node),
      timer_(environment) {}

void ReplicaManager::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  const bool leads = cluster_.IsLeader();
  if (leads && !was_leader_) leader_since_ = environment_.Now();
  was_leader_ = leads;
  for (RaftGroup* group : groups_.Groups()) {
    if (!group->IsLeader() || changing_.contains(group->id())) continue;
    if (group->id() == kClusterGroup) {
      ManageClusterGroup(*group);
    } else {
      ManageStreamGroup(*group);
    }
  }
}

void ReplicaManager::ManageClusterGroup(RaftGroup& group) {
  const auto members = group.Members();
  if (PromoteIfTooFew(group, members)) return;
  if (RemoveLost(group, members)) return;
  if (RemoveRetired(group, members)) return;
  ReportEmptied(members);
  if (RemoveSurplus(group, members)) return;
  if (AddNewLearner(group, members)) return;
  PromoteToSpread(group, members);
}

Zone ReplicaManager::ZoneOf(const NodeId& node) const {
  const auto found = nodes_.nodes().find(node);
  return found == nodes_.nodes().end() ? Zone() : found->second.latest.record.zone;
}

std::vector<Zone> ReplicaManager::ZonesOf(const std::vector<GroupMember>& members) const {
  std::vector<Zone> zones;
  for (const GroupMember& member : members) zones.push_back(ZoneOf(member.node));
  return zones;
}

std::vector<GroupMember> ReplicaManager::HealthyVoters(
    const std::vector<GroupMember>& members) const {
  std::vector<GroupMember> healthy;
  for (const GroupMember& member : members) {
    const bool stays = !IsLost(member) && !IsRetired(member.node);
    if (member.voter && stays) healthy.push_back(member);
  }
  return healthy;
}

bool ReplicaManager::IsLost(const GroupMember& member) const {
  if (member.node == self_) return false;
  const TimePoint now = environment_.Now();
  const TimePoint since = now - replace_after_;
  const RaftGroup* group = cluster_.group();
  if (nodes_.FindSince(member.node, since) != nullptr) {
    if (HasOtherDisk(member)) return true;
    return group != nullptr && group->IsUnresponsive(member.replica, since);
  }
  // After a restart, the replica replies before a heartbeat of its node reaches the leader.
  // Promoting a learner then would leave an even number of voters without need, and a partition
  // into halves without a quorum.
  if (group != nullptr && group->HasReplied(member.replica, since)) return false;
  return now - leader_since_ > replace_after_;
}

bool ReplicaManager::HasOtherDisk(const GroupMember& member) const {
  const NodeLiveness* liveness = nodes_.FindSince(member.node, environment_.Now() - replace_after_);
  if (liveness == nullptr) return false;
  // The replica is lost whether the node's new one joins or relays.
  const ReplicaId present = liveness->latest.replica;
  return present != ReplicaId() && present != member.replica;
}

bool ReplicaManager::PromoteIfTooFew(RaftGroup& group, const std::vector<GroupMember>& members) {
  if (HealthyVoters(members).size() >= target_voters_) return false;
  const auto learner = BestLearner(members);
  if (!learner) return false;
  Promote(group, *learner);
  return true;
}

std::optional<GroupMember> ReplicaManager::BestLearner(
    const std::vector<GroupMember>& members) const {
  const TimePoint since = environment_.Now() - node_lease_;
  std::vector<GroupMember> learners;
  for (const GroupMember& member : members) {
    if (member.voter || IsLost(member) || IsRetired(member.node)) continue;
    const NodeLiveness* liveness = nodes_.FindSince(member.node, since);
    if (liveness == nullptr || liveness->latest.replica != member.replica) continue;
    if (liveness->latest.record.state != MemberState::kLive) continue;
    learners.push_back(member);
  }
  const auto best = LeastCrowded(ZonesOf(learners), ZonesOf(HealthyVoters(members)));
  if (!best) return std::nullopt;
  return learners[*best];
}

bool ReplicaManager::PromoteToSpread(RaftGroup& group, const std::vector<GroupMember>& members) {
  const std::vector<GroupMember> voters = HealthyVoters(members);
  // Only a complete group is rearranged.
  if (voters.size() != target_voters_ || CountVoters(members) != target_voters_) return false;
  const auto learner = BestLearner(members);
  if (!learner || !ImprovesSpread(ZoneOf(learner->node), ZonesOf(voters))) return false;
  Promote(group, *learner);
  return true;
}

bool ReplicaManager::RemoveSurplus(RaftGroup& group, const std::vector<GroupMember>& members) {
  const std::vector<GroupMember> voters = HealthyVoters(members);
  if (voters.size() <= target_voters_) return false;
  const auto surplus = PickSurplus(ZonesOf(voters), IndexOf(voters, self_));
  if (!surplus) return false;
  // Its node joins again as a learner, since it has a replica and does not relay.
  Remove(group, voters[*surplus]);
  return true;
}

bool ReplicaManager::RemoveLost(RaftGroup& group, const std::vector<GroupMember>& members) {
  const size_t voters = CountVoters(members);
  for (const GroupMember& member : members) {
    if (!IsLost(member)) continue;
    // A lost voter stays until it is replaced: the quorum must not shrink.
    if (member.voter && voters <= target_voters_) continue;
    // An unresponsive learner may come back with its log.
    if (!member.voter && !HasOtherDisk(member)) continue;
    Remove(group, member);
    return true;
  }
  return false;
}

bool ReplicaManager::IsRetired(const NodeId& node) const {
  return cluster_.configuration().retired_nodes.contains(node);
}

size_t ReplicaManager::CountVoters(const std::vector<GroupMember>& members) const {
  return static_cast<size_t>(std::count_if(members.begin(), members.end(),
                                           [](const GroupMember& member) { return member.voter; }));
}

bool ReplicaManager::RemoveRetired(RaftGroup& group, const std::vector<GroupMember>& members) {
  for (const GroupMember& member : members) {
    if (!IsRetired(member.node)) continue;
    // A voter stays until it is replaced: the quorum must not shrink.
    if (member.voter && CountVoters(members) <= target_voters_) continue;
    if (member.node != self_) {
      Remove(group, member);
      return true;
    }
    const GroupId id = group.id();
    changing_.insert(id);
    group.TransferLeadership(
        alive_.Guard([this, id](const absl::Status&) { changing_.erase(id); }));
    return true;
  }
  return false;
}

void ReplicaManager::ReportEmptied(const std::vector<GroupMember>& members) {
  const Configuration& configuration = cluster_.configuration();
  for (const auto& [node, retired] : configuration.retired_nodes) {
    const auto record = configuration.nodes.find(node);
    const bool controls = record != configuration.nodes.end() && record->second.control;
    if (!controls || retired.emptied || reporting_emptied_) continue;
    const bool holds = IndexOf(members, node).has_value();
    if (holds) continue;
    reporting_emptied_ = true;
    cluster_.Propose(
        {RetireNode{{node, true}}, std::nullopt, {}},
        alive_.Guard([this](const absl::StatusOr<ClusterResult>&) { reporting_emptied_ = false; }));
  }
}

bool ReplicaManager::AddNewLearner(RaftGroup& group, const std::vector<GroupMember>& members) {
  const TimePoint since = environment_.Now() - node_lease_;
  std::vector<GroupMember> candidates;
  for (const auto& [node, liveness] : nodes_.nodes()) {
    const ForwardedNode& latest = liveness.latest;
    if (liveness.last_seen < since || latest.replica == ReplicaId() || !latest.record.control)
      continue;
    if (latest.record.state != MemberState::kLive) continue;
    if (FindReplica(members, latest.replica) != nullptr || IsRetired(node)) continue;
    // A relay works without a replica. Any other node is of a build that cannot relay, or has a
    // replica that it would keep using although it is no longer a member.
    if (latest.relays && !NeedsLearner(latest.record.zone, members)) continue;
    candidates.push_back({latest.replica, node, latest.record.address, false});
  }
  const auto best = LeastCrowded(ZonesOf(candidates), ZonesOf(members));
  if (!best) return false;
  Add(group, candidates[*best]);
  return true;
}

bool ReplicaManager::NeedsLearner(const Zone& zone, const std::vector<GroupMember>& members) const {
  size_t learners = 0;
  size_t voters = 0;
  for (const GroupMember& member : members) {
    if (IsLost(member) || IsRetired(member.node)) continue;
    voters += member.voter ? 1 : 0;
    learners += !member.voter && ZoneOf(member.node) == zone ? 1 : 0;
  }
  return voters < target_voters_ || learners < kLearnersPerZone;
}

void ReplicaManager::ManageStreamGroup(RaftGroup& group) {
  const RaftGroup* cluster = cluster_.group();
  if (cluster == nullptr) return;
  const auto wanted = cluster->Members();
  const auto members = group.Members();
  for (const GroupMember& member : wanted) {
    const GroupMember* present = FindReplica(members, member.replica);
    if (present == nullptr) return Add(group, member);
  }
  for (const GroupMember& member : wanted) {
    const GroupMember* present = FindReplica(members, member.replica);
    if (member.voter && !present->voter) return Promote(group, member);
  }
  for (const GroupMember& member : members) {
    if (FindReplica(wanted, member.replica) != nullptr || member.node == self_) continue;
    return Remove(group, member);
  }
}

void ReplicaManager::Add(RaftGroup& group, GroupMember member) {
  const GroupId id = group.id();
  changing_.insert(id);
  LogEvent(EventId::kReplicaJoined, "group={} node={} replica={}", id, member.node, member.replica);
  group.AddLearner(std::move(member),
                   alive_.Guard([this, id](const absl::Status&) { changing_.erase(id); }));
}

void ReplicaManager::Promote(RaftGroup& group, const GroupMember& member) {
  const GroupId id = group.id();
  changing_.insert(id);
  group.Promote(member.replica, alive_.Guard([this, id, member](const absl::Status& status) {
    changing_.erase(id);
    if (!status.ok()) return;
    LogEvent(EventId::kReplicaPromoted, "group={} node={} replica={}", id, member.node,
             member.replica);
    // Until the replaced voter is removed, a partition into halves leaves no quorum.
    timer_.Arm(Duration(0), [this] { Tick(); });
  }));
}

void ReplicaManager::Remove(RaftGroup& group, const GroupMember& member) {
  const GroupId id = group.id();
  changing_.insert(id);
  LogEvent(EventId::kReplicaRemoved, "group={} node={} replica={}", id, member.node,
           member.replica);
  group.RemoveMember(member.replica,
                     alive_.Guard([this, id](const absl::Status&) { changing_.erase(id); }));
}

}  // namespace millstair
