#include "cluster/push_service.h"

#include <algorithm>

#include "cluster/control_messages.h"

namespace millstair {
namespace {

/// Changes within this time are sent together.
constexpr Duration kPushDelay = std::chrono::milliseconds(10);
/// Minimum time between two pushes: each costs a message to every attached node, and hundreds of
/// servers that register within a second would cause as many. Leaves room in the 500 ms within
/// which a change is to be in force.
constexpr Duration kMinPushInterval = std::chrono::milliseconds(50);
/// A push is applied within this time, or was lost with its connection.
constexpr Duration kDeliveryTimeout = std::chrono::milliseconds(500);
/// A node without a heartbeat for this long has moved to another control node or died.
constexpr Duration kDetachAfter = std::chrono::seconds(5);

}  // namespace

PushService::PushService(Environment& environment, PeerTransport& transport,
                         const ClusterReplica& cluster, SourceSelector& source_selector)
    : environment_(environment),
      transport_(transport),
      cluster_(cluster),
      source_selector_(source_selector),
      timer_(environment) {}

void PushService::Attach(const NodeHeartbeat& heartbeat) {
  const ForwardedNode& sender = heartbeat.sender;
  const TimePoint now = environment_.Now();
  const auto [found, added] = attached_.try_emplace(sender.record.node);
  Attached& attached = found->second;
  // A node's own revision overrides what was sent to it only once that had time to arrive: pushes
  // may be lost. Otherwise each heartbeat under continuous change would cause a resend of changes
  // in flight, from a different revision for each node, so that no encoding could be shared.
  const bool checkpoint_due = added || now - attached.checkpoint_at >= kDeliveryTimeout;
  const bool lost = checkpoint_due && sender.applied < attached.checkpoint;
  if (added || lost || attached.sent < sender.applied) attached.sent = sender.applied;
  if (checkpoint_due) {
    attached.checkpoint = attached.sent;
    attached.checkpoint_at = now;
  }
  attached.last_heartbeat = now;
  const bool redirectable = heartbeat.redirect && !sender.relays;
  attached.redirectable = redirectable ? std::optional(sender) : std::nullopt;
}

void PushService::DetachMoved() {
  const TimePoint now = environment_.Now();
  std::erase_if(attached_, [&](const auto& entry) {
    const Attached& attached = entry.second;
    if (now - attached.last_heartbeat > kDetachAfter) return true;
    return attached.redirectable &&
           source_selector_.RedirectTargetFor(*attached.redirectable).has_value();
  });
}

void PushService::ConfigurationChanged() {
  if (timer_.armed()) return;
  const TimePoint now = environment_.Now();
  timer_.Arm(std::max(kPushDelay, next_push_at_ - now), [this] { Push(); });
}

const std::string& PushService::ChangesFor(const NodeId& node, Revision from) {
  const auto found = attached_.find(node);
  if (found == attached_.end()) return EncodedSince(from);
  const Revision since = std::max(from, found->second.sent);
  found->second.sent = cluster_.configuration().revision;
  static const std::string kNothing;
  return since == found->second.sent ? kNothing : EncodedSince(since);
}

void PushService::Push() {
  next_push_at_ = environment_.Now() + kMinPushInterval;
  DetachMoved();
  const Revision newest = cluster_.configuration().revision;
  std::map<Revision, std::string> payloads;
  for (auto& [node, attached] : attached_) {
    if (attached.sent >= newest) continue;
    std::string& payload = payloads[attached.sent];
    if (payload.empty()) payload = EncodeConfigurationPush(EncodedSince(attached.sent));
    attached.sent = newest;
    transport_.Send(node, {MessageKind::kConfigurationPush, payload});
  }
}

const std::string& PushService::EncodedSince(Revision from) {
  const Revision newest = cluster_.configuration().revision;
  if (newest != cached_revision_) cache_.clear();
  cached_revision_ = newest;
  const auto found = cache_.find(from);
  if (found != cache_.end()) return found->second;
  return cache_[from] = EncodeDelta(cluster_.DeltaSince(from));
}

}  // namespace millstair
