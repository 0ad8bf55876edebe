#include "cluster/group_client.h"

#include <algorithm>
#include <utility>

#include "cluster/command_rejection.h"
#include "common/random.h"

namespace millstair {
namespace {

/// An unanswered command is resent to another node after this time, plus random jitter.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(700);
/// Reply timeout of an unresponsive leader that other nodes still name, shorter because they may
/// not have noticed its loss yet. The command is sent to it again, in case it was lost.
constexpr Duration kNamedAgainReplyTimeout = std::chrono::milliseconds(250);
/// Delay before a command is resent after a node could not serve it.
constexpr Duration kRetryPauseMin = std::chrono::milliseconds(30);
constexpr Duration kRetryPauseMax = std::chrono::milliseconds(150);
/// How long reads avoid a node that was unresponsive or has no replica: about the time in which a
/// restarted or added replica catches up.
constexpr Duration kUnresponsivePenalty = std::chrono::seconds(3);
/// How long a replica without a known leader is avoided, unless all others are worse.
constexpr Duration kNoLeaderPenalty = std::chrono::milliseconds(150);

}  // namespace

GroupClient::GroupClient(Environment& environment, PeerTransport& transport, GroupId group,
                         Candidates candidates, GroupTarget target)
    : environment_(environment),
      transport_(transport),
      group_(std::move(group)),
      candidates_(std::move(candidates)),
      target_kind_(target) {}

void GroupClient::Submit(CommandMode mode, std::string command, Duration timeout, Callback done,
                         bool may_be_rejected) {
  const uint64_t id = NewId();
  auto pending = std::make_unique<Pending>(environment_);
  pending->message = {id, group_, mode, std::move(command), timeout, NodeId(), may_be_rejected};
  pending->deadline = environment_.Now() + timeout;
  pending->done = std::move(done);
  Pending& stored = *pending;
  pending_[id] = std::move(pending);
  stored.deadline_timer.Arm(timeout, [this, id] {
    Finish(id, absl::DeadlineExceededError("no reply before the deadline; the outcome is unknown"));
  });
  Send(stored, kReplyTimeout);
}

bool GroupClient::Receive(const NodeId& from, const PeerMessage& message) {
  auto reply = DecodeGroupCommandReply(message.payload);
  if (!reply.ok()) return false;
  const auto found = pending_.find(reply->id);
  if (found == pending_.end()) return false;
  if (reply->not_run) ++found->second->copies[from].not_run;
  if (reply->status == absl::StatusCode::kOk) {
    target_ = from;
    Finish(reply->id, std::move(reply->result));
  } else if (reply->not_run && reply->status == absl::StatusCode::kResourceExhausted) {
    Reject(from, *reply);
  } else if (!found->second->rejection.ok()) {
    FinishIfRejected(reply->id);
  } else if (target_kind_ == GroupTarget::kNearest &&
             reply->status == absl::StatusCode::kFailedPrecondition) {
    Deprioritize(from, kUnresponsivePenalty);
    if (from == found->second->sent_to) RetryRead(*found->second);
  } else if (target_kind_ == GroupTarget::kNearest &&
             reply->status == absl::StatusCode::kUnavailable) {
    Deprioritize(from, kNoLeaderPenalty);
    if (from == found->second->sent_to) RetryRead(*found->second);
  } else if (reply->status == absl::StatusCode::kUnavailable) {
    // A reply to an earlier attempt does not affect the current one.
    if (from == found->second->sent_to) Retry(*found->second, reply->leader);
  } else {
    Finish(reply->id, absl::Status(reply->status, reply->message));
  }
  return true;
}

void GroupClient::Reject(const NodeId& from, const GroupCommandReply& reply) {
  Pending& pending = *pending_.at(reply.id);
  target_ = from;
  pending.rejection = CommandRejectedError(reply.message, reply.retry_after);
  pending.retry_timer.Cancel();
  FinishIfRejected(reply.id);
}

void GroupClient::FinishIfRejected(uint64_t id) {
  const Pending& pending = *pending_.at(id);
  const bool none_runs =
      std::all_of(pending.copies.begin(), pending.copies.end(),
                  [](const auto& entry) { return entry.second.not_run >= entry.second.sent; });
  if (none_runs) Finish(id, pending.rejection);
}

/// Random, so that replies to a previous incarnation of this node do not match.
uint64_t GroupClient::NewId() {
  uint64_t id = 0;
  while (id == 0 || pending_.contains(id)) id = environment_.Random()();
  return id;
}

Duration GroupClient::DeprioritizedFor(const NodeId& node) const {
  const auto found = deprioritized_until_.find(node);
  if (found == deprioritized_until_.end()) return Duration(0);
  return std::max(found->second - environment_.Now(), Duration(0));
}

void GroupClient::Deprioritize(const NodeId& node, Duration time) {
  const TimePoint now = environment_.Now();
  std::erase_if(deprioritized_until_, [now](const auto& entry) { return now >= entry.second; });
  deprioritized_until_[node] = now + time;
}

void GroupClient::RetryRead(Pending& pending) {
  const std::vector<NodeId> candidates = candidates_();
  const bool available = !candidates.empty() && DeprioritizedFor(Target(candidates)) == Duration(0);
  if (available) return Send(pending, kReplyTimeout);
  SendAfterPause(pending);
}

NodeId GroupClient::Target(const std::vector<NodeId>& candidates) const {
  const bool known = std::find(candidates.begin(), candidates.end(), target_) != candidates.end();
  if (target_kind_ == GroupTarget::kLeader && known && DeprioritizedFor(target_) == Duration(0)) {
    return target_;
  }
  // The first that is not avoided; if there is none, the one whose penalty ends first.
  return *std::min_element(candidates.begin(), candidates.end(),
                           [this](const NodeId& a, const NodeId& b) {
                             return DeprioritizedFor(a) < DeprioritizedFor(b);
                           });
}

void GroupClient::Send(Pending& pending, Duration timeout) {
  const uint64_t id = pending.message.id;
  const std::vector<NodeId> candidates = candidates_();
  pending.sent_to = candidates.empty() ? NodeId() : Target(candidates);
  if (!candidates.empty()) {
    pending.message.timeout = pending.deadline - environment_.Now();
    ++pending.copies[pending.sent_to].sent;
    transport_.Send(pending.sent_to, {MessageKind::kCommand, EncodeGroupCommand(pending.message)});
  }
  const Duration wait = candidates.empty()
                            ? kRetryPauseMax
                            : DrawDuration(environment_.Random(), timeout, timeout + timeout / 4);
  pending.retry_timer.Arm(wait, [this, id] {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    if (!found->second->sent_to.value().empty())
      Deprioritize(found->second->sent_to, kUnresponsivePenalty);
    Send(*found->second, kReplyTimeout);
  });
}

void GroupClient::Retry(Pending& pending, const NodeId& leader) {
  const std::vector<NodeId> candidates = candidates_();
  const bool named = leader != pending.sent_to &&
                     std::find(candidates.begin(), candidates.end(), leader) != candidates.end();
  if (named) {
    const bool was_unresponsive = DeprioritizedFor(leader) > kNoLeaderPenalty;
    // Being named as leader is newer information than its past unresponsiveness.
    deprioritized_until_.erase(leader);
    target_ = leader;
    return Send(pending, was_unresponsive ? kNamedAgainReplyTimeout : kReplyTimeout);
  }
  Deprioritize(pending.sent_to, kNoLeaderPenalty);
  SendAfterPause(pending);
}

void GroupClient::SendAfterPause(Pending& pending) {
  const Duration pause = DrawDuration(environment_.Random(), kRetryPauseMin, kRetryPauseMax);
  pending.retry_timer.Arm(pause, [this, id = pending.message.id] {
    const auto found = pending_.find(id);
    if (found != pending_.end()) Send(*found->second, kReplyTimeout);
  });
}

void GroupClient::Finish(uint64_t id, absl::StatusOr<std::string> result) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const std::unique_ptr<Pending> pending = std::move(found->second);
  pending_.erase(found);
  pending->done(std::move(result));
}

void SubmitOperation(GroupClient& cluster, ClusterOperation operation, Duration timeout,
                     std::function<void(absl::StatusOr<ClusterResult>)> done) {
  // The leader that proposes it sets the time.
  const ClusterCommand command{std::move(operation), std::nullopt, {}};
  cluster.Submit(CommandMode::kPropose, EncodeCommand(command), timeout,
                 [done = std::move(done)](const absl::StatusOr<std::string>& answer) {
                   if (!answer.ok()) return done(answer.status());
                   done(DecodeResult(*answer));
                 });
}

}  // namespace millstair
