/// Replies to nodes' heartbeats with a confirmation that the configuration is current. One quorum
/// read serves all heartbeats received before it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_faults.h"
#include "cluster/cluster_replica.h"
#include "cluster/control_messages.h"
#include "cluster/push_service.h"
#include "cluster/source_selector.h"
#include "common/alive_flag.h"

namespace millstair {

class HeartbeatService {
 public:
  HeartbeatService(Environment& environment, PeerTransport& transport, ClusterReplica& cluster,
                   PushService& push, SourceSelector& source_selector, ClusterFaults faults);

  /// Logs that a message of kind kHeartbeat from `from` could not be decoded.
  void OnUnreadable(const NodeId& from, const absl::Status& fault);

  /// Replies with a confirmation after a quorum read that began after the heartbeat arrived.
  /// Replies with a refusal at once where that is not possible, so that the sender turns to another
  /// control node and knows that it is not isolated.
  ///
  /// Confirms for any incarnation of the node, whichever one the cluster's record holds: the
  /// confirmation is about the configuration, and its nonce binds it to the process that requested
  /// it. Incarnations are numbered by clocks that may jump; refusing the one that seems older would
  /// leave a running gateway without a lease until its next restart.
  void OnHeartbeat(const NodeHeartbeat& heartbeat);

  /// Time that the read in progress has taken so far; 0 if there is none.
  Duration ReadAge() const;

 private:
  struct Waiting {
    NodeId node;
    uint64_t nonce = 0;
    Revision applied;
    /// It uses another control node, and a confirmation may leave out the changes that it lacks.
    bool confirmation_only = false;
  };

  /// Logs at intervals that the read in progress takes long.
  void LogSlowRead();
  void Redirect(const Waiting& waiting, const ControlEndpoint& other);
  void ScheduleConfirmation();
  void ConfirmBatch();
  void Reply(const std::vector<Waiting>& batch);
  /// Sends `reply` to the heartbeat of `waiting`.
  void Send(const Waiting& waiting, NodeHeartbeatReply reply);
  /// Replies with `refusal`, and logs `reason` at intervals for each node.
  void Refuse(const Waiting& waiting, HeartbeatRefusal refusal, const std::string& reason);
  void LogUnanswered(const NodeId& node, const std::string& reason);

  Environment& environment_;
  PeerTransport& transport_;
  ClusterReplica& cluster_;
  PushService& push_;
  SourceSelector& source_selector_;
  const ClusterFaults faults_;
  std::vector<Waiting> waiting_;
  /// A read is in progress. One at a time, so that a slow leader gets fewer reads for more nodes
  /// each, and no growing queue.
  bool confirming_ = false;
  /// When the read in progress began, and when it was last logged as slow.
  TimePoint read_began_at_;
  std::optional<TimePoint> slow_read_logged_at_;
  /// When it was last logged that a node got no confirmation.
  std::map<NodeId, TimePoint> logged_at_;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
