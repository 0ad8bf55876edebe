#include "jobs/job_replica_manager.h"

#include <algorithm>
#include <utility>

#include "cluster/replica_spread.h"
#include "common/event_log.h"

namespace millstair {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
/// A replica that replied within this time is running. Longer than the interval of heartbeats to a
/// learner of an idle group (900 ms), and shorter than the time without heartbeats after which a
/// node is gone.
constexpr Duration kReplyWindow = std::chrono::seconds(2);

bool HasReplica(const std::vector<GroupMember>& members, ReplicaId replica) {
  return std::any_of(members.begin(), members.end(),
                     [replica](const GroupMember& member) { return member.replica == replica; });
}

}  // namespace

JobReplicaManager::JobReplicaManager(Environment& environment, const Configuration& configuration,
                                     NodeId self, JobReplicaOptions options, ReportEmptied emptied)
    : environment_(environment),
      configuration_(configuration),
      self_(std::move(self)),
      options_(options),
      emptied_(std::move(emptied)),
      timer_(environment) {}

void JobReplicaManager::SetLeading(RaftGroup* group) {
  group_ = group;
  busy_ = false;
  if (group_ == nullptr) return timer_.Cancel();
  timer_.Arm(kTick, [this] { Tick(); });
}

void JobReplicaManager::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  if (group_ == nullptr || !group_->IsLeader() || busy_) return;
  const auto members = group_->Members();
  ReportRetired(members);
  if (PromoteIfTooFew(members)) return;
  if (RemoveUnhealthy(members)) return;
  if (RemoveSurplus(members)) return;
  if (AddNewLearner(members)) return;
  PromoteToSpread(members);
}

Zone JobReplicaManager::ZoneOf(const NodeId& node) const {
  const auto record = configuration_.nodes.find(node);
  return record == configuration_.nodes.end() ? Zone() : record->second.zone;
}

std::vector<Zone> JobReplicaManager::ZonesOf(const std::vector<GroupMember>& members) const {
  std::vector<Zone> zones;
  for (const GroupMember& member : members) zones.push_back(ZoneOf(member.node));
  return zones;
}

std::vector<GroupMember> JobReplicaManager::HealthyVoters(
    const std::vector<GroupMember>& members) const {
  std::vector<GroupMember> healthy;
  for (const GroupMember& member : members) {
    if (member.voter && IsHealthy(member)) healthy.push_back(member);
  }
  return healthy;
}

bool JobReplicaManager::IsLost(const GroupMember& member) const {
  if (member.node == self_) return false;
  const auto node = configuration_.nodes.find(member.node);
  if (node == configuration_.nodes.end()) return true;
  const NodeRecord& record = node->second;
  // A node that restarted with another disk no longer holds this replica.
  if (record.replica != member.replica) return true;
  const TimePoint now = environment_.Now();
  if (group_->IsUnresponsive(member.replica, now - options_.unresponsive_after)) return true;
  // After a restart, the replica replies before the configuration shows its node as live.
  return record.state == MemberState::kGone &&
         !group_->HasReplied(member.replica, now - kReplyWindow);
}

bool JobReplicaManager::IsRetired(const NodeId& node) const {
  return configuration_.retired_nodes.contains(node);
}

std::function<void(absl::Status)> JobReplicaManager::ChangeDone() {
  busy_ = true;
  return alive_.Guard([this](const absl::Status&) { busy_ = false; });
}

bool JobReplicaManager::PromoteIfTooFew(const std::vector<GroupMember>& members) {
  if (HealthyVoters(members).size() >= options_.voters) return false;
  const auto learner = BestLearner(members);
  if (!learner) return false;
  Promote(*learner);
  return true;
}

std::optional<GroupMember> JobReplicaManager::BestLearner(
    const std::vector<GroupMember>& members) const {
  std::vector<GroupMember> learners;
  for (const GroupMember& member : members) {
    if (!member.voter && IsHealthy(member)) learners.push_back(member);
  }
  const auto best = LeastCrowded(ZonesOf(learners), ZonesOf(HealthyVoters(members)));
  if (!best) return std::nullopt;
  return learners[*best];
}

bool JobReplicaManager::PromoteToSpread(const std::vector<GroupMember>& members) {
  const std::vector<GroupMember> voters = HealthyVoters(members);
  // Only a group with all its voters is rebalanced.
  if (voters.size() != options_.voters) return false;
  const auto learner = BestLearner(members);
  if (!learner || !ImprovesSpread(ZoneOf(learner->node), ZonesOf(voters))) return false;
  Promote(*learner);
  return true;
}

bool JobReplicaManager::RemoveSurplus(const std::vector<GroupMember>& members) {
  const std::vector<GroupMember> voters = HealthyVoters(members);
  if (voters.size() <= options_.voters) return false;
  const auto surplus = PickSurplus(ZonesOf(voters), IndexOf(voters, self_));
  if (!surplus) return false;
  Remove(voters[*surplus]);
  return true;
}

void JobReplicaManager::Remove(const GroupMember& member) {
  LogEvent(EventId::kReplicaRemoved, "group={} node={} replica={}", group_->id(), member.node,
           member.replica);
  group_->RemoveMember(member.replica, ChangeDone());
}

void JobReplicaManager::Promote(const GroupMember& member) {
  busy_ = true;
  group_->Promote(member.replica, alive_.Guard([this, member](const absl::Status& status) {
    busy_ = false;
    // A learner that has not caught up yet is retried.
    if (!status.ok() || group_ == nullptr) return;
    LogEvent(EventId::kReplicaPromoted, "group={} node={} replica={}", group_->id(), member.node,
             member.replica);
    // Until the replaced voter is removed, a partition into halves leaves no quorum.
    timer_.Arm(Duration(0), [this] { Tick(); });
  }));
}

bool JobReplicaManager::RemoveUnhealthy(const std::vector<GroupMember>& members) {
  const size_t healthy = HealthyVoters(members).size();
  for (const GroupMember& member : members) {
    if (IsHealthy(member)) continue;
    // A voter stays until it is replaced: the quorum must not shrink.
    if (member.voter && healthy < options_.voters) continue;
    // An absent learner may return with its log.
    const auto node = configuration_.nodes.find(member.node);
    const bool replaced = node != configuration_.nodes.end() &&
                          node->second.state != MemberState::kGone &&
                          node->second.replica != member.replica;
    if (!member.voter && !replaced && !IsRetired(member.node)) continue;
    if (member.node == self_) {
      group_->TransferLeadership(ChangeDone());
      return true;
    }
    Remove(member);
    return true;
  }
  return false;
}

bool JobReplicaManager::NeedsOtherZone(const std::vector<GroupMember>& members) const {
  const std::vector<Zone> occupied = ZonesOf(HealthyVoters(members));
  const auto learner = BestLearner(members);
  return !learner || !ImprovesSpread(ZoneOf(learner->node), occupied);
}

bool JobReplicaManager::AddNewLearner(const std::vector<GroupMember>& members) {
  size_t healthy = 0;
  std::vector<Zone> occupied;
  for (const GroupMember& member : members) {
    if (!IsHealthy(member)) continue;
    ++healthy;
    occupied.push_back(ZoneOf(member.node));
  }
  std::vector<GroupMember> candidates;
  std::vector<Zone> zones;
  for (const auto& [node, record] : configuration_.nodes) {
    if (!record.storage || record.state != MemberState::kLive) continue;
    if (record.replica == ReplicaId() || IsRetired(node)) continue;
    if (HasReplica(members, record.replica)) continue;
    candidates.push_back({record.replica, node, record.address, false});
    zones.push_back(record.zone);
  }
  const auto best = LeastCrowded(zones, occupied);
  if (!best) return false;
  const size_t wanted = options_.voters + options_.spare_learners;
  // One additional learner is allowed to relieve a crowded zone.
  const bool relieves = healthy == wanted && NeedsOtherZone(members) &&
                        ImprovesSpread(zones[*best], ZonesOf(HealthyVoters(members)));
  if (healthy >= wanted && !relieves) return false;
  const GroupMember& candidate = candidates[*best];
  LogEvent(EventId::kReplicaJoined, "group={} node={} replica={}", group_->id(), candidate.node,
           candidate.replica);
  group_->AddLearner(candidate, ChangeDone());
  return true;
}

void JobReplicaManager::ReportRetired(const std::vector<GroupMember>& members) {
  // The platform removes the machine of an emptied node at once. While its removal is not
  // committed, the next leader may still count it as a voter.
  if (!group_->HasCommittedMembers()) return;
  for (const auto& [node, retired] : configuration_.retired_nodes) {
    const auto record = configuration_.nodes.find(node);
    const bool stores = record != configuration_.nodes.end() && record->second.storage;
    if (retired.emptied || !stores) continue;
    const bool holds = IndexOf(members, node).has_value();
    if (!holds) emptied_(node);
  }
}

}  // namespace millstair
