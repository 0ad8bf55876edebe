/// The cluster's configuration on a control node without a replica, with its confirmations, as
/// received from a remote replica. The node forwards both to the nodes that use it, so that
/// replicas serve a few relays instead of every node of the fleet.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cluster/change_history.h"
#include "cluster/configuration_client.h"

namespace millstair {

struct ClusterRelayOptions {
  NodeRecord self;
  std::vector<ControlEndpoint> control_nodes;
  ConfigurationTiming timing;
  ClusterFaults faults;
};

/// Lives on the node's serial executor.
class ClusterRelay {
 public:
  ClusterRelay(Environment& environment, PeerTransport& transport, ClusterRelayOptions options);

  /// Called after each change of the configuration.
  void OnChange(std::function<void()> callback) { on_change_ = std::move(callback); }
  /// Begins to follow a replica; `replica` is the identity of this node's disk.
  void Start(ReplicaId replica);
  /// Stops following and drops the configuration. Reads in progress end with Aborted.
  void Stop();
  bool running() const { return client_ != nullptr; }

  const Configuration& configuration() const;
  /// Changes since `from`, up to the revision held.
  ConfigurationDelta DeltaSince(Revision from) const;
  Revision nodes_changed_at() const { return nodes_changed_at_; }
  /// Calls `done` once the configuration here holds everything committed before the call, or with
  /// the reason why that is not known.
  void ConfirmRead(std::function<void(absl::Status)> done);
  std::optional<NodeId> Leader() const;
  /// Reports to the replica in use that this node is leaving.
  void SetLeaving();
  /// Messages of kinds kHeartbeatReply and kConfigurationPush.
  void Receive(const NodeId& from, const PeerMessage& message);

 private:
  void OnChanges(const ConfigurationDelta& changes);

  Environment& environment_;
  PeerTransport& transport_;
  ClusterRelayOptions options_;
  std::unique_ptr<RelayedConfigurationClient> client_;
  ChangeHistory history_;
  Revision nodes_changed_at_;
  std::function<void()> on_change_;
};

}  // namespace millstair
