/// Determines which nodes, machines and back ends are live, leaving or gone. Followers forward the
/// heartbeats they receive; the leader of the cluster group decides and writes changes to the log
/// in batches.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cluster/cluster_replica.h"
#include "cluster/control_messages.h"
#include "cluster/control_node.h"
#include "cluster/node_inviter.h"
#include "cluster/node_table.h"
#include "common/alive_flag.h"
#include "membership/platform_list.h"

namespace millstair {

class MembershipManager {
 public:
  using ObservationListener = std::function<void(const NodeId&, const EngineObservation&)>;

  MembershipManager(Environment& environment, PeerTransport& transport, HttpCaller& platform,
                    ClusterReplica& cluster, const ControlNodeOptions& options);

  /// `own_replica`: identity of this node's disk, known once the groups are open.
  void Start(ReplicaId own_replica);
  /// Handles a node's heartbeat, or a digest of another control node.
  void OnHeartbeat(const NodeHeartbeat& heartbeat);
  /// Called on the leader for each observation of a gateway.
  void OnObservation(ObservationListener listener) { listener_ = std::move(listener); }
  void SetLeaving() { self_.state = MemberState::kLeaving; }

  const NodeTable& nodes() const { return nodes_; }
  /// Nodes that are not gone and hold less than `revision`, with the reason. On the leader only.
  std::vector<NodeProgress> Lagging(Revision revision) const;
  /// The node with the lowest feature level of those that are not gone; a node from which this new
  /// leader has not yet received a heartbeat counts as first level. On the leader only.
  MinFeatureLevel MinLevel() const;

 private:
  struct Observed {
    EngineObservation observation;
    TimePoint last_seen;
  };

  void Tick();
  ForwardedNode Self() const;
  void RecordSelf();
  void SendDigest(const NodeId& leader);
  void SendHeartbeatWithoutLeader();
  void RecordObservation(const NodeId& gateway, const EngineObservation& observation);
  void BecomeLeader();
  void InviteUnheard();
  void Decide();
  void FindNodeChanges(UpdateMembers& update);
  void FindExpiredNodes(UpdateMembers& update);
  void FindMachineChanges(UpdateMembers& update) const;
  void FindEngineChanges(UpdateMembers& update);
  std::optional<EngineStatus> MergedObservation(const EngineName& engine) const;

  Environment& environment_;
  PeerTransport& transport_;
  ClusterReplica& cluster_;
  const MembershipTiming timing_;
  const std::vector<ControlEndpoint> control_nodes_;
  NodeRecord self_;
  const FeatureLevel level_;
  ReplicaId own_replica_;

  NodeTable nodes_;
  bool was_leader_ = false;
  TimePoint leader_since_;
  bool proposing_ = false;
  size_t next_control_node_ = 0;
  TimePoint next_digest_;
  TimePoint last_digest_;
  /// When this leader first saw the node as gone.
  std::map<NodeId, TimePoint> gone_since_;
  std::map<EngineName, std::map<NodeId, Observed>> observed_;
  std::vector<ReportedObservation> unsent_observations_;
  std::optional<PlatformMachines> platform_machines_;
  ObservationListener listener_;
  PlatformPoller poller_;
  NodeInviter inviter_;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
