/// This node's view of the cluster group: from its own replica or, if it has no current one, from a
/// remote replica (ClusterRelay).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "cluster/cluster_commands.h"
#include "cluster/cluster_relay.h"
#include "cluster/cluster_state_machine.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "consensus/group_host.h"

namespace millstair {

inline const GroupId kClusterGroup("cluster");

/// Lives on the node's serial executor.
class ClusterReplica {
 public:
  explicit ClusterReplica(Environment& environment) : environment_(environment) {}

  /// Creates the state machine of the group; called by the group host's factory.
  std::unique_ptr<StateMachine> MakeStateMachine(ClusterLimits limits, ClusterFaults faults);
  void Attach(GroupHost& groups) { groups_ = &groups; }
  /// Called after each change of the configuration or of the bootstrapped groups.
  void OnChange(std::function<void()> callback) { on_change_ = std::move(callback); }

  /// Called for each applied announcement of a task lease; every callback given is called.
  void OnLeaseAnnounced(std::function<void(const LeaseAnnouncement&)> callback) {
    on_lease_announced_.push_back(std::move(callback));
  }

  /// `relay` outlives this object. Without a call no relay is used.
  void SetRelay(ClusterRelay& relay) { relay_ = &relay; }
  /// Whether this view comes from the own replica.
  bool UsesReplica() const;
  /// Whether a remote replica is followed.
  bool relaying() const { return relay_ != nullptr && relay_->running(); }
  /// Whether there is a configuration here that can be confirmed.
  bool CanConfirm() const;
  /// Changes since `from`, up to the newest revision here.
  ConfigurationDelta DeltaSince(Revision from) const;
  /// Revision of the last change of a node's record, as far as known here.
  Revision nodes_changed_at() const;

  /// Null until this node has a replica.
  RaftGroup* group() const;
  /// Null until this node has a replica.
  const ClusterStateMachine* state() const;
  /// Empty until received from a replica, local or remote.
  const Configuration& configuration() const;
  const UsageLedger& usage() const;
  const PoolSizes& pool_sizes() const;
  bool IsLeader() const;
  std::optional<NodeId> Leader() const;

  /// Unavailable if this node is not the leader; the outcome is unknown if leadership is lost
  /// meanwhile.
  void Propose(ClusterCommand command, std::function<void(absl::StatusOr<ClusterResult>)> done);
  /// The same for an encoded command; this node sets its time.
  void ProposeEncoded(std::string_view command,
                      std::function<void(absl::StatusOr<std::string>)> done);
  /// Calls `done` once the state here holds everything committed before the call, or with the
  /// reason why that is not known. Always calls it, also if the view changes meanwhile.
  void ConfirmRead(std::function<void(absl::Status)> done);

 private:
  void ConfirmByRelay(std::function<void(absl::Status)> done);

  Environment& environment_;
  GroupHost* groups_ = nullptr;
  ClusterRelay* relay_ = nullptr;
  std::function<void()> on_change_;
  std::vector<std::function<void(const LeaseAnnouncement&)>> on_lease_announced_;
  AliveFlag alive_;
};

}  // namespace millstair
