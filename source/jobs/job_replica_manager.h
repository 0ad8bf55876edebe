/// Keeps a job group at its number of voters, spread over zones, on the leader of the group:
/// storage nodes join as learners, caught-up learners take the place of voters that are lost, to be
/// emptied or in a crowded zone.
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
  /// Learners kept warm beside them.
  size_t spare_learners = 1;
};

/// Lives on the node's serial executor.
class JobReplicaManager {
 public:
  using ReportEmptied = std::function<void(const NodeId&)>;

  /// `configuration` is read at each step. `emptied` is called, perhaps more than once, for a
  /// retired node that holds no replica any more.
  JobReplicaManager(Environment& environment, const Configuration& configuration, NodeId self,
                    JobReplicaOptions options, ReportEmptied emptied);

  /// Null while this node does not lead the group.
  void SetLeading(RaftGroup* group);

 private:
  void Tick();
  void Promote(const GroupMember& member);
  bool PromoteIfTooFew(const std::vector<GroupMember>& members);
  /// A learner in a zone with fewer voters becomes one: a voter of the most crowded zone goes next.
  bool PromoteToSpread(const std::vector<GroupMember>& members);
  /// The learner in the zone with the fewest sound voters.
  std::optional<GroupMember> BestLearner(const std::vector<GroupMember>& members) const;
  /// Removes one sound voter if there are too many.
  bool RemoveSurplus(const std::vector<GroupMember>& members);
  void Remove(const GroupMember& member);
  /// Whether a learner of another zone than those there are would spread the voters better.
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

  const Configuration& configuration_;
  const NodeId self_;
  const JobReplicaOptions options_;
  const ReportEmptied emptied_;
  RaftGroup* group_ = nullptr;
  /// A membership change is under way.
  bool busy_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
