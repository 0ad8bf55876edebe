#include "cluster/heartbeat_service.h"

#include <utility>

namespace millstair {
namespace {

/// Heartbeats of so short a time share one confirmed read.
constexpr Duration kBatchDelay = std::chrono::milliseconds(10);

}  // namespace

HeartbeatService::HeartbeatService(Environment& environment, PeerTransport& transport,
                                   ClusterReplica& cluster, PushService& push, ClusterFaults faults)
    : transport_(transport), cluster_(cluster), push_(push), faults_(faults), timer_(environment) {}

void HeartbeatService::Answer(const NodeHeartbeat& heartbeat) {
  const NodeRecord& record = heartbeat.sender.record;
  const auto& nodes = cluster_.configuration().nodes;
  const auto known = nodes.find(record.node);
  if (known != nodes.end() && known->second.incarnation > record.incarnation) return;
  if (cluster_.group() == nullptr) return;
  push_.Attach(record.node, heartbeat.sender.applied);
  waiting_.push_back({record.node, heartbeat.nonce, heartbeat.sender.applied});
  if (faults_.heartbeat_unconfirmed) return Reply(std::exchange(waiting_, {}));
  if (!timer_.armed()) timer_.Arm(kBatchDelay, [this] { ConfirmBatch(); });
}

void HeartbeatService::ConfirmBatch() {
  auto batch = std::exchange(waiting_, {});
  cluster_.ConfirmRead(alive_.Guard([this, batch = std::move(batch)](const absl::Status& status) {
    if (status.ok()) Reply(batch);
  }));
}

void HeartbeatService::Reply(const std::vector<Waiting>& batch) {
  const Revision newest = cluster_.configuration().revision;
  for (const Waiting& waiting : batch) {
    NodeHeartbeatReply reply;
    reply.nonce = waiting.nonce;
    reply.confirmed = newest;
    if (waiting.applied < newest) reply.delta = push_.ChangesFor(waiting.node, waiting.applied);
    transport_.Send(waiting.node, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
  }
}

}  // namespace millstair
