#include "cluster/heartbeat_service.h"

#include <chrono>
#include <utility>

#include "common/event_log.h"
#include "fmt/format.h"

namespace millstair {
namespace {

/// Heartbeats received within this time share one quorum read.
constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
/// The same on a relay, whose reads each cost a replica a heartbeat. Well below the time that a
/// sender waits for its reply.
constexpr Duration kRelayBatchDelay = std::chrono::milliseconds(150);
/// A read that takes longer is logged.
constexpr Duration kSlowRead = std::chrono::seconds(1);
/// Interval of log lines about one node without a confirmation, which sends several heartbeats a
/// second.
constexpr Duration kLogInterval = std::chrono::seconds(5);
/// A node that requests a confirmation only still gets up to this many revisions of changes, so
/// that it can be confirmed without switching its control node.
constexpr uint64_t kMaxRevisionsInConfirmation = 20;
/// Bounds the nodes whose last log line is remembered.
constexpr size_t kMaxLoggedNodes = 4096;

}  // namespace

HeartbeatService::HeartbeatService(Environment& environment, PeerTransport& transport,
                                   ClusterReplica& cluster, PushService& push,
                                   SourceSelector& source_selector, ClusterFaults faults)
    : environment_(environment),
      transport_(transport),
      cluster_(cluster),
      push_(push),
      source_selector_(source_selector),
      faults_(faults),
      timer_(environment) {}

void HeartbeatService::OnHeartbeat(const NodeHeartbeat& heartbeat) {
  const NodeId& node = heartbeat.sender.record.node;
  const bool confirmation_only =
      heartbeat.confirmation_only && heartbeat.sender.feature_level >= kRelayLevel;
  const Waiting waiting{node, heartbeat.nonce, heartbeat.sender.applied, confirmation_only};
  const bool wants_replica = heartbeat.sender.relays;
  if (!cluster_.CanConfirm() || (wants_replica && !cluster_.UsesReplica())) {
    return Refuse(waiting, HeartbeatRefusal::kNoReplica, "no replica here");
  }
  if (heartbeat.redirect) {
    if (const auto other = source_selector_.RedirectTargetFor(heartbeat.sender))
      return Redirect(waiting, *other);
  }
  if (!heartbeat.confirmation_only) push_.Attach(heartbeat);
  // If a leader is found or the read ends in time, the confirmation follows.
  if (!cluster_.Leader()) {
    Refuse(waiting, HeartbeatRefusal::kNoQuorum, "no leader is known");
  } else if (ReadAge() >= kSlowRead) {
    Refuse(waiting, HeartbeatRefusal::kNoQuorum, "the quorum read in progress is slow");
  }
  waiting_.push_back(waiting);
  LogSlowRead();
  if (faults_.heartbeat_unconfirmed) return Reply(std::exchange(waiting_, {}));
  ScheduleConfirmation();
}

Duration HeartbeatService::ReadAge() const {
  return confirming_ ? environment_.Now() - read_began_at_ : Duration(0);
}

void HeartbeatService::LogSlowRead() {
  if (ReadAge() < kSlowRead) return;
  const TimePoint now = environment_.Now();
  if (slow_read_logged_at_ && now - *slow_read_logged_at_ < kLogInterval) return;
  slow_read_logged_at_ = now;
  LogEvent(EventId::kConfirmationReadSlow, "waiting={} read_ms={} replica={} revision={}",
           waiting_.size(),
           std::chrono::duration_cast<std::chrono::milliseconds>(ReadAge()).count(),
           cluster_.UsesReplica(), cluster_.configuration().revision);
}

void HeartbeatService::ScheduleConfirmation() {
  if (confirming_ || timer_.armed()) return;
  const Duration delay = cluster_.UsesReplica() ? kBatchDelay : kRelayBatchDelay;
  timer_.Arm(delay, [this] { ConfirmBatch(); });
}

void HeartbeatService::Redirect(const Waiting& waiting, const ControlEndpoint& other) {
  NodeHeartbeatReply reply;
  reply.refusal = HeartbeatRefusal::kUseAnother;
  reply.use = other;
  Send(waiting, std::move(reply));
}

void HeartbeatService::ConfirmBatch() {
  auto batch = std::exchange(waiting_, {});
  confirming_ = true;
  read_began_at_ = environment_.Now();
  cluster_.ConfirmRead(alive_.Guard([this, batch = std::move(batch)](const absl::Status& status) {
    confirming_ = false;
    if (!waiting_.empty()) ScheduleConfirmation();
    if (status.ok()) return Reply(batch);
    for (const Waiting& waiting : batch) {
      Refuse(waiting, HeartbeatRefusal::kNoQuorum, std::string(status.message()));
    }
  }));
}

void HeartbeatService::Refuse(const Waiting& waiting, HeartbeatRefusal refusal,
                              const std::string& reason) {
  NodeHeartbeatReply reply;
  reply.refusal = refusal;
  Send(waiting, std::move(reply));
  LogUnanswered(waiting.node, reason);
}

void HeartbeatService::OnUnreadable(const NodeId& from, const absl::Status& fault) {
  LogUnanswered(from, std::string(fault.message()));
}

void HeartbeatService::LogUnanswered(const NodeId& node, const std::string& reason) {
  const TimePoint now = environment_.Now();
  const auto [logged, first] = logged_at_.try_emplace(node, now);
  if (!first && now - logged->second < kLogInterval) return;
  logged->second = now;
  if (logged_at_.size() > kMaxLoggedNodes) logged_at_.erase(logged_at_.begin());
  LogEvent(EventId::kHeartbeatUnanswered, "node={} revision={} reason=\"{}\"", node,
           cluster_.configuration().revision, reason);
}

void HeartbeatService::Reply(const std::vector<Waiting>& batch) {
  const Revision newest = cluster_.configuration().revision;
  const NodeId leader = cluster_.Leader().value_or(NodeId());
  for (const Waiting& waiting : batch) {
    NodeHeartbeatReply reply;
    reply.leader = leader;
    reply.confirmed = newest;
    const bool too_many = newest.value() - waiting.applied.value() > kMaxRevisionsInConfirmation;
    if (waiting.applied < newest && !(waiting.confirmation_only && too_many)) {
      reply.delta = push_.ChangesFor(waiting.node, waiting.applied);
    }
    Send(waiting, std::move(reply));
  }
}

void HeartbeatService::Send(const Waiting& waiting, NodeHeartbeatReply reply) {
  reply.nonce = waiting.nonce;
  transport_.Send(waiting.node, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
}

}  // namespace millstair
