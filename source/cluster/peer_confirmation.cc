#include "cluster/peer_confirmation.h"

#include <vector>

#include "cluster/change_history.h"
#include "common/random.h"

namespace millstair {

const NodeRecord* ChooseConfirmingPeer(const Configuration& configuration, const NodeId& self,
                                       RandomEngine& random) {
  std::vector<const NodeRecord*> peers;
  for (const auto& [node, record] : configuration.nodes) {
    const bool confirms = record.gateway && !record.control;
    if (confirms && node != self && record.state == MemberState::kLive) peers.push_back(&record);
  }
  return peers.empty() ? nullptr : peers[DrawBelow(random, peers.size())];
}

NodeHeartbeatReply ConfirmToPeer(const NodeHeartbeat& heartbeat, const Configuration& configuration,
                                 std::optional<Duration> age) {
  NodeHeartbeatReply reply;
  reply.nonce = heartbeat.nonce;
  if (!age) {
    reply.refusal = HeartbeatRefusal::kNoQuorum;
    return reply;
  }
  reply.confirmed = configuration.revision;
  reply.confirmation_age = *age;
  // Gateways keep no history of changes.
  if (heartbeat.sender.applied < configuration.revision) {
    reply.delta = EncodeDelta(FullDelta(configuration));
  }
  return reply;
}

}  // namespace millstair
