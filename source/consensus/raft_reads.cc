/// Linearizable reads: a leader confirms them by a heartbeat round to a quorum, a follower sends a
/// request to the leader.
#include <algorithm>
#include <utility>

#include "consensus/raft_core.h"

namespace millstair {

uint64_t RaftCore::RequestRead() {
  const uint64_t ticket = next_ticket_++;
  const bool stale_leader = IsLeader() && options_.faults.read_without_confirmation;
  if (stale_leader || (!IsLeader() && options_.faults.local_follower_reads)) {
    reads_.push_back({ticket, commit_});
    return ticket;
  }
  waiting_reads_.push_back({ReplicaId(), ticket});
  return ticket;
}

void RaftCore::ForgetRead(uint64_t ticket) {
  const auto matches = [&](const WaitingRead& read) {
    return read.from == ReplicaId() && read.ticket == ticket;
  };
  std::erase_if(waiting_reads_, matches);
  std::erase_if(round_reads_, matches);
  std::erase_if(requested_reads_, matches);
}

void RaftCore::StartReadRound() {
  // The commit index may be behind until an entry of the current term is committed.
  if (round_under_way_ || waiting_reads_.empty() || commit_ < first_entry_of_term_) return;
  round_under_way_ = true;
  OnActivity();
  ++round_;
  round_index_ = commit_;
  round_reads_ = std::exchange(waiting_reads_, {});
  // Learners do not count for the quorum.
  for (auto& [replica, progress] : progress_) {
    if (configuration().IsVoter(replica)) SendHeartbeat(replica, progress, round_);
  }
  FinishReadRound();
}

void RaftCore::FinishReadRound() {
  if (!round_under_way_) return;
  size_t confirmed = configuration().IsVoter(options_.self) ? 1 : 0;
  for (const auto& [replica, progress] : progress_) {
    const bool counts = configuration().IsVoter(replica) && progress.confirmed_round >= round_;
    if (counts) ++confirmed;
  }
  if (confirmed < configuration().Quorum()) return;
  round_under_way_ = false;
  for (const WaitingRead& read : std::exchange(round_reads_, {})) CompleteRead(read, round_index_);
  StartReadRound();
}

void RaftCore::CompleteRead(const WaitingRead& read, LogIndex index) {
  if (read.from == ReplicaId()) {
    reads_.push_back({read.ticket, index});
    return;
  }
  RaftMessage reply = MakeMessage(RaftMessageType::kReadReply, read.from);
  reply.context = read.ticket;
  reply.position.index = index;
  Send(std::move(reply));
}

void RaftCore::SendReadRequest() {
  read_request_due_ = now_ + 2 * options_.heartbeat;
  if (leader_ == ReplicaId()) return;
  ++read_request_number_;
  for (WaitingRead& read : waiting_reads_) {
    read.request = read_request_number_;
    requested_reads_.push_back(read);
  }
  waiting_reads_.clear();
  RaftMessage request = MakeMessage(RaftMessageType::kReadRequest, leader_);
  request.context = read_request_number_;
  Send(std::move(request));
}

void RaftCore::HandleReadRequest(const RaftMessage& message) {
  if (IsLeader()) {
    waiting_reads_.push_back({message.from, message.context});
    return;
  }
  RaftMessage reply = MakeMessage(RaftMessageType::kReadReply, message.from);
  reply.context = message.context;
  reply.reject = true;
  Send(std::move(reply));
}

void RaftCore::HandleReadReply(const RaftMessage& message) {
  // A rejected request is sent again when `read_request_due_` is reached.
  if (message.reject) return;
  // The reply may predate reads that were requested later. Numbers may wrap around.
  const auto is_later = [&](const WaitingRead& read) {
    return message.context - read.request > read_request_number_ - read.request;
  };
  const auto first_covered =
      std::stable_partition(requested_reads_.begin(), requested_reads_.end(), is_later);
  const std::vector<WaitingRead> covered(first_covered, requested_reads_.end());
  requested_reads_.erase(first_covered, requested_reads_.end());
  for (const WaitingRead& read : covered) CompleteRead(read, message.position.index);
}

void RaftCore::MoveReadsToNewLeader() {
  std::vector<WaitingRead> own;
  for (auto* reads : {&requested_reads_, &round_reads_, &waiting_reads_}) {
    for (const WaitingRead& read : *reads) {
      if (read.from == ReplicaId()) own.push_back(read);
    }
    reads->clear();
  }
  waiting_reads_ = std::move(own);
  round_under_way_ = false;
  ++read_request_number_;
}

}  // namespace millstair
