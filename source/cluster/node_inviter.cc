#include "cluster/node_inviter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cluster/control_messages.h"
#include "common/event_log.h"

namespace millstair {
namespace {

constexpr Duration kFirstPause = std::chrono::seconds(1);
constexpr Duration kMaxPause = std::chrono::seconds(30);
constexpr size_t kMaxInvitationsPerRun = 32;

}  // namespace

NodeInviter::NodeInviter(Environment& environment, PeerTransport& transport, ControlEndpoint self)
    : environment_(environment), transport_(transport), self_(std::move(self)) {}

void NodeInviter::Run(const Configuration& configuration, const NodeTable& heard) {
  std::erase_if(invited_,
                [&](const auto& entry) { return !configuration.nodes.contains(entry.first); });
  std::vector<const NodeRecord*> due;
  for (const auto& [node, record] : configuration.nodes) {
    if (node != self_.node && IsDue(record, heard)) due.push_back(&record);
  }
  if (due.empty()) return;
  std::stable_partition(due.begin(), due.end(),
                        [](const NodeRecord* record) { return record->control; });
  const size_t sent = std::min(due.size(), kMaxInvitationsPerRun);
  for (size_t i = 0; i < sent; ++i) Invite(*due[i]);
  LogEvent(EventId::kNodesInvited, "sent={} due={} first={}", sent, due.size(), due.front()->node);
}

bool NodeInviter::IsDue(const NodeRecord& node, const NodeTable& heard) {
  const TimePoint now = environment_.Now();
  if (heard.FindSince(node.node, now - kInvitationDelay) != nullptr) {
    invited_.erase(node.node);
    return false;
  }
  const auto invited = invited_.find(node.node);
  return invited == invited_.end() || now >= invited->second.next_at;
}

void NodeInviter::Invite(const NodeRecord& node) {
  Invited& invited = invited_[node.node];
  invited.pause = std::clamp(2 * invited.pause, kFirstPause, kMaxPause);
  invited.next_at = environment_.Now() + invited.pause;
  NodeHeartbeatReply invitation;
  invitation.nonce = kInvitationNonce;
  invitation.refusal = HeartbeatRefusal::kUseAnother;
  invitation.use = self_;
  transport_.SetAddress(node.node, node.address);
  transport_.Send(node.node, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(invitation)});
}

}  // namespace millstair
