/// Keeps every group at its full number of voters. On the leader of a group: control nodes with a
/// disk join as learners, learners replace lost and retired voters, whose replicas are then
/// removed. Voters of the cluster group are spread over zones: a learner replaces a voter of a
/// crowded zone, whose node stays as a learner. The members of stream groups follow those of the
/// cluster group.
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
  /// Returns whether a change was started.
  bool AddNewLearner(RaftGroup& group, const std::vector<GroupMember>& members);
  /// Whether a relay in `zone` is to get a replica.
  bool NeedsLearner(const Zone& zone, const std::vector<GroupMember>& members) const;
  bool PromoteIfTooFew(RaftGroup& group, const std::vector<GroupMember>& members);
  /// Promotes a learner in a zone with fewer voters; a voter of the most crowded zone is removed
  /// next.
  bool PromoteToSpread(RaftGroup& group, const std::vector<GroupMember>& members);
  /// The live learner in the zone with the fewest healthy voters.
  std::optional<GroupMember> BestLearner(const std::vector<GroupMember>& members) const;
  /// Removes one healthy voter if there are too many.
  bool RemoveSurplus(RaftGroup& group, const std::vector<GroupMember>& members);
  std::vector<GroupMember> HealthyVoters(const std::vector<GroupMember>& members) const;
  /// According to its latest heartbeat; empty if there was none.
  Zone ZoneOf(const NodeId& node) const;
  std::vector<Zone> ZonesOf(const std::vector<GroupMember>& members) const;
  bool RemoveLost(RaftGroup& group, const std::vector<GroupMember>& members);
  bool RemoveRetired(RaftGroup& group, const std::vector<GroupMember>& members);
  /// Commits that a retired control node no longer holds a replica of the cluster group. The entry
  /// follows that of the removal in the log, so it cannot be committed without it.
  void ReportEmptied(const std::vector<GroupMember>& members);
  bool IsRetired(const NodeId& node) const;
  size_t CountVoters(const std::vector<GroupMember>& members) const;
  /// Its node runs with another disk, or its replica in the cluster group has not replied for long,
  /// because its node is gone or the replica cannot store anything.
  bool IsLost(const GroupMember& member) const;
  /// Whether the node runs with another disk, so that this replica cannot return.
  bool HasOtherDisk(const GroupMember& member) const;

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
  /// Since when this node leads the cluster group; a new leader has not received heartbeats of all
  /// nodes yet.
  TimePoint leader_since_;
  bool was_leader_ = false;
  /// Groups with a membership change in progress.
  std::set<GroupId> changing_;
  bool reporting_emptied_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
