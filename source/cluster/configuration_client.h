/// Keeps a node's configuration up to date and confirms that it is current.
///
/// The node sends a heartbeat with its own send time to one control node. That node runs a quorum
/// read *after* it received the heartbeat, and replies with the revision. So the configuration held
/// here was the newest at some moment after the send time, without comparing the clocks of two
/// machines. The lease runs from the send time. An isolated control node cannot confirm, and
/// replies with a refusal. When the control node in use is unresponsive or refuses, requests go to
/// the others at short intervals, without waiting for each, and the first that confirms the
/// configuration is used from then on. If none of them confirms, gateways are requested as well
/// (peer_confirmation.h).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cluster/cluster_faults.h"
#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/peer_transport.h"

namespace millstair {

struct ConfigurationTiming {
  Duration heartbeat = std::chrono::seconds(1);
  /// How long after a confirmed heartbeat was sent the node may give out new work.
  Duration lease = std::chrono::seconds(4);
  /// Without a confirmation for this long, requests go to other control nodes as well.
  Duration source_timeout = std::chrono::milliseconds(1500);
  /// Maximum wait for the reply to a heartbeat: it covers batching on the control node, a quorum
  /// read, the network, and scheduling delay on a node with little CPU.
  Duration reply_timeout = std::chrono::milliseconds(200);
};

/// A gateway's report about a back end or about itself; sent with a heartbeat when it changed.
struct EngineObservation {
  EngineName engine;
  Incarnation incarnation;
  bool leaving = false;
  WeightVersion staged;
  WeightVersion active;
  bool consistent = true;
};

/// Lives on the node's serial executor.
class ConfigurationClient {
 public:
  virtual ~ConfigurationClient() = default;
  virtual void Start() = 0;
  virtual const Configuration& configuration() const = 0;
  /// True while the configuration held is confirmed as current.
  virtual bool LeaseValid() const = 0;
  /// Runs `work`, which uses the configuration. If the configuration is confirmed, runs it at once.
  /// Otherwise, if a confirmation is likely to arrive, runs it after the confirmation and after all
  /// listeners were notified of the changes; if none is likely, runs it with the configuration
  /// held. Runs work in the order of submission, within `reply_timeout`.
  virtual void WhenCurrent(std::function<void()> work) = 0;
  /// How long ago the configuration held was last known to be the newest; nullopt if it never was.
  virtual std::optional<Duration> ConfirmationAge() const = 0;
  /// The control node or gateway that confirmed the configuration last; empty if none did.
  virtual NodeId ConfirmedBy() const = 0;
  /// Since when LeaseValid has been true without interruption; nullopt while it is not.
  virtual std::optional<TimePoint> ConfirmedSince() const = 0;
  /// True if no message was received from any control node for several leases. Control nodes
  /// without a quorum still send refusals, so this is false while only the quorum is lost.
  virtual bool IsIsolated() const = 0;
  /// Time since the last message of any control node, or since the start.
  virtual Duration ControlSilence() const = 0;
  /// `callback` runs on the executor within a heartbeat interval after `IsIsolated` changed.
  virtual void OnIsolationChange(std::function<void(bool isolated)> callback) = 0;
  /// `callback` runs on the executor after each applied change. Several listeners may be added.
  using ChangeListener = std::function<void(const ConfigurationDelta& changes)>;
  virtual void OnChange(ChangeListener callback) = 0;
  /// Sends `observation` to the control nodes with the next heartbeat.
  virtual void Report(EngineObservation observation) = 0;
  /// Announces that this node is leaving; heartbeats continue until the process ends.
  virtual void SetLeaving() = 0;
  /// Messages of kinds kHeartbeat (from other gateways), kHeartbeatReply and kConfigurationPush.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
};

/// The configuration on a control node without a replica, received from a control node that has
/// one.
class RelayedConfigurationClient : public ConfigurationClient {
 public:
  /// Calls `done` once the configuration here holds everything committed before the call, with
  /// Unavailable if no replica confirms that in time, or with Aborted after `AbortReads`.
  virtual void ConfirmRead(std::function<void(absl::Status)> done) = 0;
  /// Ends all reads in progress; called before this client is destroyed.
  virtual void AbortReads() = 0;
  /// Calls of ConfirmRead that wait for a confirmation.
  virtual size_t PendingReads() const = 0;
  /// The leader of the cluster group according to the replica in use.
  virtual std::optional<NodeId> Leader() const = 0;
};

struct ControlEndpoint {
  NodeId node;
  std::string address;
  /// Empty if only the address is known.
  Zone zone;

  friend bool operator==(const ControlEndpoint&, const ControlEndpoint&) = default;
};

std::unique_ptr<ConfigurationClient> MakeConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing,
    ClusterFaults faults = {});

/// `replica`: identity of the node's disk, under which the leader may add it as a replica.
std::unique_ptr<RelayedConfigurationClient> MakeRelayedConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self, ReplicaId replica,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing,
    ClusterFaults faults = {});

}  // namespace millstair
