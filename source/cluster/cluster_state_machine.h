/// Replicated state machine of the cluster group: resources, models, members, sessions and claims.
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
  /// Maximum published versions per model; the staged and the active one are never removed.
  size_t max_published_versions = 32;
  /// Changes retained for computing deltas.
  size_t max_history = 2000;
  /// Maximum advance of the clock per command, so that one wall clock that is far ahead does not
  /// expire all sessions and claims at once.
  std::chrono::milliseconds max_clock_step = std::chrono::minutes(1);
};

/// Deterministic, with bounded memory. Its clock is the largest proposal time seen, limited by
/// max_clock_step.
class ClusterStateMachine : public StateMachine {
 public:
  explicit ClusterStateMachine(ClusterLimits limits = {}, ClusterFaults faults = {});

  std::string Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() const override;
  absl::Status Restore(LogIndex index, std::string_view snapshot) override;

  const Configuration& configuration() const { return configuration_; }
  /// Changes after `from`, up to the newest revision.
  ConfigurationDelta DeltaSince(Revision from) const;
  /// Called after each change of the configuration or of the bootstrapped groups, and after a
  /// restore.
  void OnChange(std::function<void()> callback) { on_change_ = std::move(callback); }

  /// Called for each applied announcement in log order, and after a restore for the latest
  /// announcement of each subject.
  void OnLeaseAnnounced(std::function<void(const LeaseAnnouncement&)> callback) {
    on_lease_announced_ = std::move(callback);
  }

  /// Revision of the last change to a node record; after a restore, the revision of the snapshot.
  Revision nodes_changed_at() const { return nodes_changed_at_; }
  WallTime clock() const { return clock_; }
  const UsageLedger& usage() const { return usage_; }
  const PoolSizes& pool_sizes() const { return pool_sizes_; }
  const SessionTable& sessions() const { return sessions_; }
  const ClaimTable& claims() const { return claims_; }
  /// Initial members of the stream groups.
  const std::map<StreamName, BootstrapStreamGroup>& bootstrapped_groups() const {
    return bootstrapped_groups_;
  }

 private:
  ClusterResult Answer(LogIndex index, const ClusterCommand& command);
  ClusterResult RunOnce(LogIndex index, const ClusterCommand& command);
  ClusterResult Run(LogIndex index, const ClusterCommand& command);
  ClusterResult Bootstrap(LogIndex index, const BootstrapStreamGroup& bootstrap);
  ClusterResult Announce(const LeaseAnnouncement& announcement);
  ClusterResult Set(const PoolSize& size);
  /// Removes the initial members of deleted streams.
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
  std::map<StreamName, BootstrapStreamGroup> bootstrapped_groups_;
  ChangeHistory history_;
  UsageLedger usage_;
  /// Latest announcement by subject. A leader task has one subject or a few.
  std::map<std::string, LeaseAnnouncement> announcements_;
  PoolSizes pool_sizes_;
  std::function<void()> on_change_;
  std::function<void(const LeaseAnnouncement&)> on_lease_announced_;
};

}  // namespace millstair
