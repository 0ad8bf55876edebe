/// State machine of the cluster group: resources, models, members, sessions and claims.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/change_history.h"
#include "cluster/claim_table.h"
#include "cluster/cluster_commands.h"
#include "cluster/cluster_faults.h"
#include "cluster/configuration.h"
#include "cluster/ended_instances.h"
#include "cluster/session_table.h"
#include "consensus/state_machine.h"
#include "metering/usage_ledger.h"

namespace millstair {

struct ClusterLimits {
  SessionLimits sessions;
  ClaimLimits claims;
  /// Published versions kept for each model, beside the staged and the active one.
  size_t max_published_versions = 32;
  /// Changes kept for deltas.
  size_t max_history = 2000;
  /// The clock moves at most this far with one command, so that a wall clock that is far ahead
  /// does not expire everything at once.
  std::chrono::milliseconds max_clock_step = std::chrono::minutes(1);
};

/// Deterministic and bounded. Its clock is the largest proposal time seen (see max_clock_step).
class ClusterStateMachine : public StateMachine {
 public:
  explicit ClusterStateMachine(ClusterLimits limits = {}, ClusterFaults faults = {});

  std::string Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() const override;
  absl::Status Restore(LogIndex index, std::string_view snapshot) override;

  const Configuration& configuration() const { return configuration_; }
  /// Changes since `from`, as of the newest revision.
  ConfigurationDelta DeltaSince(Revision from) const;
  /// Called after each change of the configuration or of the founded groups, and after a restore.
  void OnChange(std::function<void()> callback) { on_change_ = std::move(callback); }

  /// Called for each announcement that is applied, in the order of the log, and after a restore for
  /// the latest of each subject.
  void OnLeaseAnnounced(std::function<void(const HolderAnnouncement&)> callback) {
    on_duty_announced_ = std::move(callback);
  }

  /// Revision of the last change of a node's record; that of the snapshot after a restore.
  Revision nodes_changed_at() const { return nodes_changed_at_; }
  WallTime clock() const { return clock_; }
  const UsageLedger& usage() const { return usage_; }
  const SessionTable& sessions() const { return sessions_; }
  const ClaimTable& claims() const { return claims_; }
  /// Founders of the groups of streams.
  const std::map<StreamName, FoundGroup>& founded_groups() const { return founded_groups_; }

 private:
  ClusterResult Answer(LogIndex index, const ClusterCommand& command);
  ClusterResult RunOnce(LogIndex index, const ClusterCommand& command);
  ClusterResult Run(LogIndex index, const ClusterCommand& command);
  ClusterResult Found(LogIndex index, const FoundGroup& found);
  ClusterResult Announce(const HolderAnnouncement& announcement);
  /// Forgets the founders of streams that were deleted.
  void ForgetGroups(const ChangeSet& changes);
  void AdvanceClock(WallTime proposed_at);

  ClusterLimits limits_;
  ClusterFaults faults_;
  Configuration configuration_;
  EndedInstances ended_instances_;
  Revision nodes_changed_at_;
  WallTime clock_;
  SessionTable sessions_;
  ClaimTable claims_;
  std::map<StreamName, FoundGroup> founded_groups_;
  ChangeHistory history_;
  UsageLedger usage_;
  /// The latest for each subject; there is one subject for each duty.
  std::map<std::string, HolderAnnouncement> duties_;
  std::function<void()> on_change_;
  std::function<void(const HolderAnnouncement&)> on_duty_announced_;
};

}  // namespace millstair
