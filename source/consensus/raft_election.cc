/// Elections: pre-vote, vote, quorum check and leadership transfer.
#include <algorithm>
#include <utility>

#include "consensus/raft_core.h"

namespace millstair {

void RaftCore::StartPreVote() {
  AbandonElection();
  role_ = RaftRole::kPreCandidate;
  leader_ = ReplicaId();
  MoveReadsToNewLeader();
  RequestVotes(RaftMessageType::kPreVote, Next(term()), false);
}

void RaftCore::Campaign(bool transfer) {
  role_ = RaftRole::kCandidate;
  leader_ = ReplicaId();
  campaign_is_transfer_ = transfer;
  SetTerm(Next(term()), options_.self);
  ResetElectionTimer();
  RequestVotes(RaftMessageType::kVote, term(), transfer);
}

void RaftCore::RequestVotes(RaftMessageType type, Term term, bool transfer) {
  votes_.clear();
  votes_[options_.self] = true;
  for (const GroupMember& member : configuration().members) {
    if (!member.voter || member.replica == options_.self) continue;
    RaftMessage message = MakeMessage(type, member.replica);
    message.term = term;
    message.position = LastPosition();
    message.transfer = transfer;
    SendDurable(std::move(message), options_.faults.vote_not_synced);
  }
  CountVotes();
}

bool RaftCore::LogIsUpToDate(const LogPosition& last) const {
  if (options_.faults.vote_without_log_check) return true;
  const LogPosition own = LastPosition();
  if (last.term != own.term) return last.term > own.term;
  return last.index >= own.index;
}

void RaftCore::HandleVoteRequest(const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVote;
  // A pre-vote asks for a future term; one for the current term is stale.
  const bool can_vote = pre_vote
                            ? message.term > term()
                            : log_.hard_state().vote == message.from ||
                                  (log_.hard_state().vote == ReplicaId() && leader_ == ReplicaId());
  const bool log_up_to_date = LogIsUpToDate(message.position);
  const bool granted = can_vote && log_up_to_date;
  if (!granted) {
    RecordRefusal(message, can_vote ? VoteRefusal::kLogBehind : VoteRefusal::kAlreadyVoted);
  }
  RaftMessage reply = MakeMessage(
      pre_vote ? RaftMessageType::kPreVoteReply : RaftMessageType::kVoteReply, message.from);
  reply.reject = !granted;
  if (granted) {
    if (pre_vote) {
      reply.term = message.term;
    } else {
      SetTerm(term(), message.from);
      ResetElectionTimer();
    }
  }
  SendDurable(std::move(reply), options_.faults.vote_not_synced);
}

void RaftCore::HandleVoteReply(const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVoteReply;
  if (role_ != (pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate)) return;
  if (pre_vote && !message.reject && message.term != Next(term())) return;
  votes_[message.from] = !message.reject;
  CountVotes();
}

void RaftCore::CountVotes() {
  const Configuration& members = configuration();
  size_t granted = 0;
  size_t refused = 0;
  for (const auto& [replica, vote] : votes_) {
    if (!members.IsVoter(replica)) continue;
    ++(vote ? granted : refused);
  }
  if (granted >= members.Quorum()) {
    if (role_ == RaftRole::kPreCandidate) return Campaign(false);
    // Other voters receive the request only after the local vote is durable.
    if (role_ == RaftRole::kCandidate) return BecomeLeader();
  }
  if (refused >= members.Quorum()) BecomeFollower(term(), ReplicaId());
}

void RaftCore::AbandonElection() {
  const bool pre_vote = role_ == RaftRole::kPreCandidate;
  if (!pre_vote && role_ != RaftRole::kCandidate) return;
  FailedElection failed{pre_vote, pre_vote ? Next(term()) : term(), LastPosition(), {}, {}, {}};
  for (const GroupMember& member : configuration().members) {
    if (!member.voter || member.replica == options_.self) continue;
    const auto vote = votes_.find(member.replica);
    if (vote == votes_.end()) {
      failed.unanswered.push_back(member);
    } else {
      (vote->second ? failed.granted : failed.refused).push_back(member);
    }
  }
  failed_elections_.push_back(std::move(failed));
}

void RaftCore::RecordRefusal(const RaftMessage& request, VoteRefusal reason) {
  refused_votes_.push_back({request.type == RaftMessageType::kPreVote, request.term, request.from,
                            request.position, reason});
}

bool RaftCore::QuorumActive(const Configuration& members) const {
  size_t active = 0;
  for (const GroupMember& member : members.members) {
    if (!member.voter) continue;
    if (member.replica == options_.self) {
      ++active;
      continue;
    }
    const auto it = progress_.find(member.replica);
    if (it == progress_.end()) continue;
    if (now_ - it->second.last_active() < options_.election_timeout) ++active;
  }
  return active >= members.Quorum();
}

void RaftCore::CheckQuorum() {
  if (now_ - leader_since_ < options_.election_timeout) return;
  if (!QuorumActive(configuration())) BecomeFollower(term(), ReplicaId());
}

absl::Status RaftCore::TransferLeadership(TimePoint now) {
  now_ = now;
  if (!IsLeader()) return absl::UnavailableError("not the leader");
  const std::optional<ReplicaId> best = BestSuccessor();
  if (!best.has_value()) return absl::FailedPreconditionError("no other voter is reachable");
  transferee_ = best;
  transfer_deadline_ = now_ + options_.election_timeout;
  TryTimeoutNow(*best);
  return absl::OkStatus();
}

std::optional<ReplicaId> RaftCore::BestSuccessor() const {
  std::optional<ReplicaId> best;
  LogIndex best_match;
  for (const auto& [replica, progress] : progress_) {
    const bool active = now_ - progress.last_active() < options_.election_timeout;
    if (!active || !configuration().IsVoter(replica)) continue;
    if (best.has_value() && progress.match() <= best_match) continue;
    best = replica;
    best_match = progress.match();
  }
  return best;
}

void RaftCore::StepDown(TimePoint now) {
  now_ = now;
  if (IsLeader()) {
    const std::optional<ReplicaId> successor = BestSuccessor();
    if (successor.has_value()) Send(MakeMessage(RaftMessageType::kTimeoutNow, *successor));
  }
  BecomeFollower(term(), IsLeader() ? ReplicaId() : leader_);
}

absl::Status RaftCore::Rejoin(TimePoint now) {
  now_ = now;
  ResetElectionTimer();
  if (!configurations_incomplete_) return absl::OkStatus();
  absl::Status status = LoadConfigurations(MembersAt(log_.snapshot().index));
  configurations_incomplete_ = !status.ok();
  return status;
}

void RaftCore::TryTimeoutNow(ReplicaId replica) {
  if (transferee_ != replica) return;
  const auto it = progress_.find(replica);
  if (it == progress_.end() || it->second.match() != log_.last_index()) return;
  Send(MakeMessage(RaftMessageType::kTimeoutNow, replica));
}

void RaftCore::HandleTimeoutNow() {
  if (installing_ || IsLeader() || !configuration().IsVoter(options_.self)) return;
  Campaign(true);
}

}  // namespace millstair
