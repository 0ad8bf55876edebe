/// Keeps every group at its full number of voters. On the leader of a group: candidates with a disk
/// join as learners, warm learners take the place of lost and retired voters, whose replicas are
/// removed then. Voters of the cluster group are spread over zones: a learner takes the place of a
/// voter in a crowded one, which stays as a learner's node. The members of stream groups follow
/// those of the cluster group.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cluster/cluster_replica.h"
#include "cluster/control_node.h"
#include "cluster/node_table.h"
#include "common/alive_flag.h"
#include "common/scoped_timer.h"

namespace millstair {

class ReplicaManager {
 public:
  ReplicaManager(Environment& environment, GroupHost& groups, ClusterReplica& cluster,
                 const NodeTable& nodes, const ControlNodeOptions& options);

  void Start() { Tick(); }

 private:
  void Tick();
  void ManageClusterGroup(RaftGroup& group);
  void ManageStreamGroup(RaftGroup& group);
  /// Whether a step was taken.
  bool AddNonMember(RaftGroup& group, const std::vector<GroupMember>& members);
  /// Whether a control node of `zone` that does without a replica is to get one.
  bool NeedsLearner(const Zone& zone, const std::vector<GroupMember>& members) const;
  bool PromoteIfShort(RaftGroup& group, const std::vector<GroupMember>& members);
  /// A learner in a zone with fewer voters becomes one: a voter of the most crowded zone goes next.
  bool PromoteToSpread(RaftGroup& group, const std::vector<GroupMember>& members);
  /// The live learner in the zone with the fewest healthy voters.
  std::optional<GroupMember> BestLearner(const std::vector<GroupMember>& members) const;
  /// Removes one healthy voter if there are too many.
  bool RemoveSurplus(RaftGroup& group, const std::vector<GroupMember>& members);
  std::vector<GroupMember> HealthyVoters(const std::vector<GroupMember>& members) const;
  /// As its latest heartbeat says; empty if it was not heard of.
  Zone ZoneOf(const NodeId& node) const;
  std::vector<Zone> ZonesOf(const std::vector<GroupMember>& members) const;
  bool RemoveLost(RaftGroup& group, const std::vector<GroupMember>& members);
  bool RemoveRetired(RaftGroup& group, const std::vector<GroupMember>& members);
  /// Commits that a retired control node holds no replica of the cluster group any more. The entry
  /// stands behind that of the removal, so that the one is not committed without the other.
  void ReportEmptied(const std::vector<GroupMember>& members);
  bool IsRetired(const NodeId& node) const;
  size_t CountVoters(const std::vector<GroupMember>& members) const;
  /// Its node is silent for long, or is there with another disk.
  bool IsLost(const GroupMember& member) const;

  void Add(RaftGroup& group, GroupMember member);
  void Promote(RaftGroup& group, const GroupMember& member);
  void Remove(RaftGroup& group, const GroupMember& member);

  Environment& environment_;
  GroupHost& groups_;
  ClusterReplica& cluster_;
  const NodeTable& nodes_;
  const Duration replace_after_;
  const Duration node_lease_;
  const size_t target_voters_;
  const NodeId self_;
  /// Since when this node leads the cluster group; a new leader has not heard everyone yet.
  TimePoint leader_since_;
  bool was_leader_ = false;
  /// Groups with a membership change under way.
  std::set<GroupId> changing_;
  bool reporting_emptied_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
