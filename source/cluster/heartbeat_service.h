/// Answers the heartbeats of nodes with a proof of freshness: one confirmed read serves all
/// heartbeats that came before it.
#pragma once

#include <cstdint>
#include <map>
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

  /// Logs that the message of kind kHeartbeat that came from `from` can't be read.
  void OnUnreadable(const NodeId& from, const absl::Status& fault);

  /// Answers `heartbeat` with a proof once a read that began after it was confirmed, and with a
  /// refusal at once where that can't be, so that the sender turns elsewhere and knows that it is
  /// heard.
  ///
  /// Whoever asks gets the proof, whatever life of the node the cluster's record names: a proof is
  /// about the configuration, and its nonce binds it to the process that asked. Lives are numbered
  /// by clocks that jump; refusing the one that seems earlier left a gateway that was up without a
  /// proof until it was started again.
  void OnHeartbeat(const NodeHeartbeat& heartbeat);

 private:
  struct Waiting {
    NodeId node;
    uint64_t nonce = 0;
    Revision applied;
    /// It uses another control node, and may be told that it lacks too_many without being told
    /// what.
    bool confirmation_only = false;
  };

  void Redirect(const Waiting& waiting, const ControlEndpoint& other);
  void ScheduleConfirmation();
  void ConfirmBatch();
  void Reply(const std::vector<Waiting>& batch);
  /// Sends `reply` as the answer to the heartbeat of `waiting`.
  void Send(const Waiting& waiting, NodeHeartbeatReply reply);
  /// Tells the sender, and the log once in a while for each node, why it gets no proof.
  void Refuse(const Waiting& waiting, HeartbeatRefusal refusal, const std::string& reason);
  void LogUnanswered(const NodeId& node, const std::string& reason);

  Environment& environment_;
  PeerTransport& transport_;
  ClusterReplica& cluster_;
  PushService& push_;
  SourceSelector& source_selector_;
  const ClusterFaults faults_;
  std::vector<Waiting> waiting_;
  /// A read is under way. One at a time: a leader that is slow gets fewer of them, each for more
  /// nodes, and not more and more that wait behind each other.
  bool confirming_ = false;
  /// When it was last logged that a node got no proof.
  std::map<NodeId, TimePoint> logged_at_;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
