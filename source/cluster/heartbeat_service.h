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
#include "common/alive_flag.h"

namespace millstair {

class HeartbeatService {
 public:
  HeartbeatService(Environment& environment, PeerTransport& transport, ClusterReplica& cluster,
                   PushService& push, ClusterFaults faults);

  /// Logs that the message of kind kHeartbeat that came from `from` can't be read.
  void NoteUnreadable(const NodeId& from, const absl::Status& fault);

  /// Answers `heartbeat` once a read that began after it was confirmed. Not at all if the read
  /// fails, or if a later life of the node is known: the sender's lease then lapses.
  void Answer(const NodeHeartbeat& heartbeat);

 private:
  struct Waiting {
    NodeId node;
    uint64_t nonce = 0;
    Revision applied;
  };

  void ConfirmBatch();
  void Reply(const std::vector<Waiting>& batch);
  /// Logs once in a while for each node why it gets no proof.
  void NoteUnanswered(const NodeId& node, const std::string& reason);

  Environment& environment_;
  PeerTransport& transport_;
  ClusterReplica& cluster_;
  PushService& push_;
  const ClusterFaults faults_;
  std::vector<Waiting> waiting_;
  /// When it was last logged that a node got no proof.
  std::map<NodeId, TimePoint> noted_;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
