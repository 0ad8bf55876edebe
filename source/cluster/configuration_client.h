/// Keeps a node's configuration up to date and proves that it is fresh.
///
/// The node sends a heartbeat with its own send time to one control node. That node confirms a
/// read with a quorum *after* it received the heartbeat, and answers with the revision. So the
/// configuration in_configuration was the newest at some moment after the send time, without
/// comparing the clocks of two machines. The lease runs from the send time. A control node that is
/// cut off cannot confirm, and says so. When the one in use is silent or refuses, the others are
/// sent as well, one shortly after another without waiting for each, and the first that gives a
/// proof is used from then on.
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
  /// Without an answer for this long, other control nodes are sent as well.
  Duration source_timeout = std::chrono::milliseconds(1500);
  /// A heartbeat is confirmed within this time. It takes 10 ms in which the control node gathers
  /// others, a confirmed read of a quorum (some 10 ms within a region) and the way; a node that
  /// shares a tenth of a core may be this too_late.
  Duration reply_timeout = std::chrono::milliseconds(200);
};

/// Report of a gateway about a back end or its own state, sent with heartbeats when it changed.
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
  /// True while the configuration in_configuration is proven fresh.
  virtual bool LeaseValid() const = 0;
  /// Runs `work`, which goes by the configuration: at once while that is proven fresh. Else, where
  /// a proof may be had, once it has come and all listeners have heard what changed with it; where
  /// none is to be had, by what is in_configuration. Within `reply_timeout`, in the order in which
  /// it came.
  virtual void WhenCurrent(std::function<void()> work) = 0;
  /// How long ago the configuration in_configuration was last known to be the newest; nothing if it
  /// never was.
  virtual std::optional<Duration> ConfirmationAge() const = 0;
  /// Since when LeaseValid has been true all the time; nothing while it is not.
  virtual std::optional<TimePoint> ConfirmedSince() const = 0;
  /// True while no control node has said anything for several leases: this node is cut off from all
  /// of them. Control nodes without a quorum refuse, so where the cluster has none it is false.
  virtual bool IsIsolated() const = 0;
  /// Hears when `IsIsolated` changes, within a heartbeat, on the executor.
  virtual void OnIsolationChange(std::function<void(bool isolated)> callback) = 0;
  /// Hears what was applied, after each change, on the executor. Several listeners may be added.
  using ChangeListener = std::function<void(const ConfigurationDelta& changes)>;
  virtual void OnChange(ChangeListener callback) = 0;
  /// Tells the control nodes what this gateway saw; sent with the next heartbeat.
  virtual void Report(EngineObservation observation) = 0;
  /// Announces that this node is leaving; heartbeats go on until the process ends.
  virtual void SetLeaving() = 0;
  /// Messages of kinds kHeartbeatReply and kConfigurationPush.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
};

/// The configuration as a control node without a replica gets it from one that has one.
class RelayedConfigurationClient : public ConfigurationClient {
 public:
  /// `done` once the configuration here holds everything committed before the call; Unavailable if
  /// no replica confirms that in time.
  virtual void ConfirmRead(std::function<void(absl::Status)> done) = 0;
  /// Who leads the cluster group by the word of the replica in use.
  virtual std::optional<NodeId> Leader() const = 0;
};

struct ControlEndpoint {
  NodeId node;
  std::string address;
  /// Empty where it was told by address alone.
  Zone zone;

  friend bool operator==(const ControlEndpoint&, const ControlEndpoint&) = default;
};

std::unique_ptr<ConfigurationClient> MakeConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing,
    ClusterFaults faults = {});

/// `replica`: identity of the node's disk, by which the leader may make it a replica.
std::unique_ptr<RelayedConfigurationClient> MakeRelayedConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self, ReplicaId replica,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing,
    ClusterFaults faults = {});

}  // namespace millstair
