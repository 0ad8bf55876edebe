/// Keeps a job group at its number of voters, spread over zones. Runs on the leader of the group:
/// storage nodes join as learners, and caught-up learners replace voters that are lost, retired or
/// in a crowded zone.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "cluster/configuration.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"

namespace millstair {

struct JobReplicaOptions {
  size_t voters = 3;
  /// Learners in addition to the voters, ready to replace one.
  size_t spare_learners = 1;
  /// A replica that has not replied for this long is lost, although its node is present.
  Duration unresponsive_after = std::chrono::seconds(10);
};

/// Lives on the node's serial executor.
class JobReplicaManager {
 public:
  using ReportEmptied = std::function<void(const NodeId&)>;

  /// `configuration` is read at each tick. `emptied` is called, possibly repeatedly, for a retired
  /// node that no longer holds a replica.
  JobReplicaManager(Environment& environment, const Configuration& configuration, NodeId self,
                    JobReplicaOptions options, ReportEmptied emptied);

  /// Null while this node does not lead the group.
  void SetLeading(RaftGroup* group);

 private:
  void Tick();
  void Promote(const GroupMember& member);
  bool PromoteIfTooFew(const std::vector<GroupMember>& members);
  /// Promotes a learner in a zone with fewer voters; RemoveSurplus then removes a voter of the most
  /// crowded zone.
  bool PromoteToSpread(const std::vector<GroupMember>& members);
  /// The healthy learner in the zone with the fewest healthy voters.
  std::optional<GroupMember> BestLearner(const std::vector<GroupMember>& members) const;
  /// Removes one healthy voter if there are too many.
  bool RemoveSurplus(const std::vector<GroupMember>& members);
  void Remove(const GroupMember& member);
  /// Whether no existing learner would spread the voters better.
  bool NeedsOtherZone(const std::vector<GroupMember>& members) const;
  Zone ZoneOf(const NodeId& node) const;
  std::vector<Zone> ZonesOf(const std::vector<GroupMember>& members) const;
  std::vector<GroupMember> HealthyVoters(const std::vector<GroupMember>& members) const;
  bool RemoveUnhealthy(const std::vector<GroupMember>& members);
  bool AddNewLearner(const std::vector<GroupMember>& members);
  void ReportRetired(const std::vector<GroupMember>& members);
  bool IsLost(const GroupMember& member) const;
  bool IsRetired(const NodeId& node) const;
  bool IsHealthy(const GroupMember& member) const {
    return !IsLost(member) && !IsRetired(member.node);
  }
  std::function<void(absl::Status)> ChangeDone();

  Environment& environment_;
  const Configuration& configuration_;
  const NodeId self_;
  const JobReplicaOptions options_;
  const ReportEmptied emptied_;
  RaftGroup* group_ = nullptr;
  /// A membership change is in progress.
  bool busy_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
