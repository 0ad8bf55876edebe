/// The control role of a node: replicas of the groups, membership, configuration distribution,
/// commands of other nodes, and the operators' HTTP API.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster_commands.h"
#include "cluster/cluster_faults.h"
#include "cluster/configuration_client.h"
#include "cluster/feature_level.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/peer_transport.h"
#include "consensus/consensus_faults.h"
#include "consensus/group_host.h"
#include "http/exchange.h"
#include "metering/usage_ledger.h"

namespace millstair {

/// The part of a stream group outside its state machine, on the leader: leases of attempts,
/// staleness checks of DeliverSamples. Implemented in rollout/.
class StreamLeader {
 public:
  virtual ~StreamLeader() = default;
  /// Messages of kind kWorkRequest for this stream; only called while this node leads the group.
  virtual void ReceiveWork(const NodeId& from, const PeerMessage& message) = 0;
  /// Replies to a command of mode kQuery for this stream.
  virtual void Query(const std::string& query,
                     std::function<void(absl::StatusOr<std::string>)> done) = 0;
  /// The cluster configuration changed, or the leadership of the group.
  virtual void OnChange(const Configuration& configuration) = 0;
};

/// Creates the parts of a stream; implemented in rollout/ so that cluster/ does not depend on it.
class StreamFactory {
 public:
  virtual ~StreamFactory() = default;
  virtual std::unique_ptr<StateMachine> MakeStateMachine(const GroupId& group) = 0;
  virtual std::unique_ptr<StreamLeader> MakeLeader(RaftGroup& group, StateMachine& state) = 0;
};

/// A task that runs only on the leader of the cluster group, such as deciding weight targets.
/// Implemented in weights/ and other folders.
class LeaderTask {
 public:
  virtual ~LeaderTask() = default;
  /// Called about once a second on the leader, and after each change.
  virtual void Run(const Configuration& configuration) = 0;
  /// An observation reported by a gateway.
  virtual void Observe(const NodeId& gateway, const EngineObservation& observation) = 0;
};

struct MembershipTiming {
  /// A node without a heartbeat for this long is gone.
  Duration node_lease = std::chrono::seconds(5);
  Duration platform_poll = std::chrono::seconds(1);
  /// A lost voter is replaced by a learner after this long.
  Duration replace_voter_after = std::chrono::seconds(10);
  /// The record of a node that is gone is deleted after this long.
  Duration forget_after = std::chrono::hours(24);
};

struct ControlNodeOptions {
  NodeRecord self;
  std::string cluster_id;
  std::vector<ControlEndpoint> control_nodes;
  /// Initial members of the cluster group; the same list on each control node.
  std::vector<GroupMember> initial_members;
  /// False if the group was bootstrapped by an earlier incarnation: an initial member without its
  /// log then waits for the leader like any other node.
  bool bootstrap = true;
  /// Voters of the cluster group; 0 means the number of initial members.
  size_t voters = 0;
  /// Minimum number of storage nodes left when a machine is emptied.
  size_t storage_voters = 3;
  ConsensusTiming consensus_timing;
  ConsensusLimits consensus_limits;
  ConfigurationTiming configuration_timing;
  MembershipTiming membership_timing;
  /// Retention of idempotency keys.
  std::chrono::hours claim_retention{24};
  /// "ip:port" of the platform's machine list; polling is disabled if empty.
  std::string platform_list;
  ClusterFaults faults;
  ConsensusFaults consensus_faults;
};

/// Lives on the node's serial executor.
class ControlNode : public PeerReceiver, public RequestHandler {
 public:
  virtual absl::Status Start() = 0;
  virtual GroupHost& groups() = 0;
  /// The cluster state as applied on this replica; may be stale.
  virtual const Configuration& configuration() const = 0;
  virtual bool IsClusterLeader() const = 0;
  virtual void AddLeaderTask(std::unique_ptr<LeaderTask> task) = 0;
  /// Proposes to the cluster group; Unavailable if this node is not the leader.
  virtual void Propose(ClusterCommand command,
                       std::function<void(absl::StatusOr<ClusterResult>)> done) = 0;
  /// Runs `operation` on the leader, local or remote; it must tolerate being run more than once.
  /// DeadlineExceeded and Unavailable leave the outcome unknown.
  virtual void Submit(ClusterOperation operation,
                      std::function<void(absl::StatusOr<ClusterResult>)> done) = 0;
  /// A back end's own report that it is registered or leaving. A report that is already committed
  /// is acknowledged at once.
  virtual void ReportInstance(const BackendInstance& instance,
                              std::function<void(absl::StatusOr<ClusterResult>)> done) = 0;
  /// Starts emptying a machine with a storage node of all replicas; a conflict if too few storage
  /// nodes would be left. `configuration()` shows the progress, see machine_retirement.h.
  virtual void RetireMachine(const std::string& machine,
                             std::function<void(absl::StatusOr<ClusterResult>)> done) = 0;
  /// See ZoneEvacuation.
  virtual void EvacuateZone(const millstair::EvacuateZone& evacuation,
                            std::function<void(absl::StatusOr<ClusterResult>)> done) = 0;
  /// Calls `done` once `configuration()` holds everything committed before the call.
  virtual void ConfirmRead(std::function<void(absl::Status)> done) = 0;
  /// Time that the read which confirms heartbeats has taken so far; 0 if none is in progress.
  virtual Duration ConfirmationReadAge() const = 0;
  /// Usage as applied on this replica; may be stale.
  virtual const UsageLedger& usage() const = 0;
  /// The time that most clocks of the cluster agree on; nullopt on a node that does not lead, and
  /// until enough nodes have reported.
  virtual std::optional<WallTime> AgreedTime() const = 0;
  /// Numbers of ordered servers as applied on this replica; may be stale.
  virtual const PoolSizes& pool_sizes() const = 0;
  /// The lowest feature level among live nodes, as far as this leader knows.
  virtual FeatureLevel MinLevel() const = 0;
  /// `callback` runs for each report of a job group's leader that this node receives while it leads
  /// the cluster group. Reports may arrive late and out of order.
  virtual void OnPoolReport(std::function<void(const PoolReport&)> callback) = 0;
  /// `callback` runs for each announcement of a task lease applied here. Several tasks may each set
  /// one.
  virtual void OnLeaseAnnounced(std::function<void(const LeaseAnnouncement&)> callback) = 0;
  /// The configuration and the leader of the cluster group are known here.
  virtual bool Ready() const = 0;
  /// Transfers all leaderships, then calls `done`. For a planned stop.
  virtual void Drain(std::function<void()> done) = 0;
};

std::unique_ptr<ControlNode> MakeControlNode(Environment& environment, PeerTransport& transport,
                                             FileSystem& files, HttpCaller& platform,
                                             std::unique_ptr<StreamFactory> streams,
                                             ControlNodeOptions options);

}  // namespace millstair
