#include "cluster/cluster_submitter.h"

#include <utility>

namespace millstair {
namespace {

constexpr Duration kSubmitTimeout = std::chrono::seconds(10);
/// About the length of an election. A caller that can turn to another node waits no longer than
/// this at a node without a known leader.
constexpr Duration kNoLeaderTimeout = std::chrono::milliseconds(300);

}  // namespace

void ClusterSubmitter::Submit(CommandMode mode, const std::string& command,
                              Duration no_leader_timeout, EncodedCallback done) {
  if (!cluster_.IsLeader()) {
    const Duration timeout = cluster_.Leader() ? kSubmitTimeout : no_leader_timeout;
    return others_->Submit(kClusterGroup, mode, command, timeout, std::move(done));
  }
  commands_.Run(kClusterGroup, mode, command,
                alive_.Guard([this, mode, command, no_leader_timeout,
                              done = std::move(done)](const absl::StatusOr<std::string>& result) {
                  const bool retry = absl::IsUnavailable(result.status()) ||
                                     absl::IsDeadlineExceeded(result.status());
                  if (!retry) return done(result);
                  others_->Submit(kClusterGroup, mode, command, no_leader_timeout, done);
                }));
}

void ClusterSubmitter::Query(const std::string& query, EncodedCallback done) {
  Submit(CommandMode::kQuery, query, kSubmitTimeout, std::move(done));
}

void ClusterSubmitter::ChangeRepeatable(ClusterOperation operation, ResultCallback done) {
  SubmitCommand({std::move(operation), std::nullopt, {}}, kNoLeaderTimeout, std::move(done));
}

void ClusterSubmitter::SubmitCommand(ClusterCommand command, Duration no_leader_timeout,
                                     ResultCallback done) {
  Submit(CommandMode::kPropose, EncodeCommand(command), no_leader_timeout,
         [done = std::move(done)](const absl::StatusOr<std::string>& result) {
           if (!result.ok()) return done(result.status());
           done(DecodeResult(*result));
         });
}

void ClusterSubmitter::OpenSession(ResultCallback done) {
  SubmitCommand({millstair::OpenSession{}, std::nullopt, {}}, kSubmitTimeout, std::move(done));
}

void ClusterSubmitter::Change(ClusterOperation operation, std::optional<SessionStamp> session,
                              ResultCallback done) {
  if (session) {
    return SubmitCommand({std::move(operation), std::move(session), {}}, kSubmitTimeout,
                         std::move(done));
  }
  if (own_session_.value().empty()) {
    waiting_.push_back({std::move(operation), std::move(done)});
    if (waiting_.size() == 1) OpenOwnSession();
    return;
  }
  own_sequence_ = Next(own_sequence_);
  const SessionStamp stamp{own_session_, own_sequence_};
  SubmitCommand(
      {std::move(operation), stamp, {}}, kSubmitTimeout,
      alive_.Guard([this, stamp, done = std::move(done)](absl::StatusOr<ClusterResult> result) {
        const bool expired = result.ok() && result->code == ClusterResultCode::kSessionExpired;
        if (expired && own_session_ == stamp.client) own_session_ = ClientId();
        if (expired) result = absl::UnavailableError("the session has expired");
        done(std::move(result));
      }));
}

void ClusterSubmitter::OpenOwnSession() {
  OpenSession(alive_.Guard([this](const absl::StatusOr<ClusterResult>& result) {
    auto waiting = std::exchange(waiting_, {});
    if (result.ok()) {
      own_session_ = result->session;
      own_sequence_ = ClientSequence();
    }
    for (Waiting& change : waiting) {
      if (result.ok()) {
        Change(std::move(change.operation), std::nullopt, std::move(change.done));
      } else {
        change.done(absl::FailedPreconditionError("opening a session failed: " +
                                                  std::string(result.status().message())));
      }
    }
  }));
}

}  // namespace millstair
