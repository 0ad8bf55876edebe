/// The Raft algorithm of one replica, without network or timers of its own.
///
/// The caller passes events to `Step`, `Tick` and `LogBecameDurable`, calls `Flush` after each
/// batch of events, then collects `TakeMessages`, `TakeReads` and `commit`. A message must not be
/// sent before the local log is durable up to its `after`, so that a crash cannot revoke a vote or
/// an acknowledgement.
///
/// Invariants: a replica votes at most once per term and stores the vote durably; it acknowledges
/// only durable entries; a leader commits by counting replicas only for entries of its own term; a
/// read is confirmed only after a quorum of voters replied to a heartbeat sent after the read was
/// requested.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/environment.h"
#include "consensus/consensus_faults.h"
#include "consensus/election_record.h"
#include "consensus/raft_configuration.h"
#include "consensus/raft_messages.h"
#include "consensus/raft_progress.h"
#include "storage/segmented_log.h"

namespace millstair {

enum class RaftRole : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

struct RaftOptions {
  ReplicaId self;
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout = std::chrono::milliseconds(1000);
  /// Replaces `election_timeout` after a restart until a leader is known; the upper bound is three
  /// times this. 0 disables it.
  Duration restart_election_timeout{0};
  uint64_t max_batch_bytes = 256 * 1024;
  uint64_t snapshot_chunk_bytes = 256 * 1024;
  /// Maximum number of append messages in flight to one follower.
  size_t window = 32;
  ConsensusFaults faults;
};

/// A confirmed read of this replica.
struct ConfirmedRead {
  uint64_t ticket = 0;
  LogIndex index;
};

/// A complete snapshot file received from the leader.
struct ReceivedSnapshot {
  LogPosition position;
  std::string bytes;
};

class RaftCore {
 public:
  /// `log` and `random` must outlive the core. `members` are those of the log's snapshot, if any.
  /// DataLoss if a configuration entry of the log does not decode.
  static absl::StatusOr<std::unique_ptr<RaftCore>> Create(RaftOptions options, SegmentedLog& log,
                                                          RandomEngine& random, TimePoint now,
                                                          std::vector<GroupMember> members);

  void Tick(TimePoint now);
  void Step(TimePoint now, RaftMessage message);
  void LogBecameDurable();
  /// Sends pending entries, an advanced commit index and a round of read confirmation.
  void Flush(TimePoint now);

  /// Returns the position of the new entry. Unavailable if this replica is not the leader or is
  /// transferring leadership.
  absl::StatusOr<LogPosition> Propose(EntryType type, EntryPayload payload);
  /// The confirmed read is returned by TakeReads with this ticket; it may never be confirmed.
  uint64_t RequestRead();
  void ForgetRead(uint64_t ticket);

  /// Proposes a configuration in which one member is added, promoted or removed.
  absl::StatusOr<LogPosition> AddLearner(GroupMember member);
  absl::StatusOr<LogPosition> Promote(ReplicaId replica);
  absl::StatusOr<LogPosition> RemoveMember(ReplicaId replica);
  /// Starts a leadership transfer. FailedPrecondition if no other voter is reachable.
  absl::Status TransferLeadership(TimePoint now);
  bool transferring() const { return transferee_.has_value(); }
  /// Gives up leadership or a candidacy without waiting for the log. A leader asks the most
  /// up-to-date active voter to start an election.
  void StepDown(TimePoint now);
  /// Called when the replica takes part again after a pause in which it got no events. Returns the
  /// error if the log still cannot be read.
  absl::Status Rejoin(TimePoint now);

  /// Called once a received snapshot was saved to the log and restored.
  void SnapshotInstalled(const LogPosition& position, std::vector<GroupMember> members);
  /// Called if a received snapshot could not be installed; the leader will send it again.
  void SnapshotRejected() { installing_ = false; }
  void Compacted(LogIndex index) { configurations_.Compact(index); }

  std::vector<RaftMessage> TakeMessages() { return std::exchange(messages_, {}); }
  std::vector<ConfirmedRead> TakeReads() { return std::exchange(reads_, {}); }
  std::optional<ReceivedSnapshot> TakeSnapshot() { return std::exchange(received_, {}); }
  std::vector<FailedElection> TakeFailedElections() { return std::exchange(failed_elections_, {}); }
  std::vector<RefusedVote> TakeRefusedVotes() { return std::exchange(refused_votes_, {}); }

  RaftRole role() const { return role_; }
  bool IsLeader() const { return role_ == RaftRole::kLeader; }
  /// Whether this replica leads and `replica` replied to it at or after `since`.
  bool HasReplied(ReplicaId replica, TimePoint since) const;
  /// Whether this replica leads and `replica` has been a member without a reply since before
  /// `since`.
  bool IsUnresponsive(ReplicaId replica, TimePoint since) const;
  Term term() const { return log_.hard_state().term; }
  ReplicaId leader() const { return leader_; }
  LogIndex commit() const { return commit_; }
  const Configuration& configuration() const { return configurations_.Current(); }
  /// Whether this replica leads and `configuration` is committed, so that every later leader has
  /// it.
  bool HasCommittedConfiguration() const;
  const std::vector<GroupMember>& MembersAt(LogIndex index) const {
    return configurations_.At(index).members;
  }
  /// Whether this replica was removed from the group.
  bool removed() const { return removed_; }
  /// Not OK after a violated invariant; the replica must then stop for good.
  const absl::Status& failure() const { return failure_; }
  /// Returns and clears the error of a log that could not be read.
  absl::Status TakeReadError() { return std::exchange(read_error_, absl::OkStatus()); }

 private:
  struct WaitingRead {
    /// 0 is this replica.
    ReplicaId from;
    uint64_t ticket = 0;
    /// On a follower: number of the first request that was sent for it.
    uint64_t request = 0;
  };

  RaftCore(RaftOptions options, SegmentedLog& log, RandomEngine& random, TimePoint now);
  absl::Status LoadConfigurations(std::vector<GroupMember> members);

  // raft_core.cc: roles, terms, dispatch.
  RaftMessage MakeMessage(RaftMessageType type, ReplicaId to) const;
  void Send(RaftMessage message);
  void SendDurable(RaftMessage message, bool skip_sync = false);
  LogPosition LastPosition() const;
  bool StepTerm(const RaftMessage& message);
  void AnswerStaleTerm(const RaftMessage& message);
  void SetTerm(Term term, ReplicaId vote);
  void BecomeFollower(Term term, ReplicaId leader);
  void BecomeLeader();
  void ResetElectionTimer();
  /// Heartbeats of all groups of a node are aligned in time, so that they share a batch.
  TimePoint NextHeartbeat() const;
  /// Returns an idle group to the normal heartbeat interval.
  void OnActivity();
  /// Whether there were no recent requests and all members are up to date.
  bool IsIdle() const;
  void OnLeaderMessage(ReplicaId leader);
  bool HasLiveLeader() const;

  // raft_election.cc
  void Campaign(bool transfer);
  void StartPreVote();
  void RequestVotes(RaftMessageType type, Term term, bool transfer);
  void HandleVoteRequest(const RaftMessage& message);
  void HandleVoteReply(const RaftMessage& message);
  void CountVotes();
  /// Records the attempt under way, if any, as failed.
  void AbandonElection();
  void RecordRefusal(const RaftMessage& request, VoteRefusal reason);
  bool LogIsUpToDate(const LogPosition& last) const;
  void CheckQuorum();
  bool QuorumActive(const Configuration& configuration) const;
  /// The active other voter with the longest log; nullopt if there is none.
  std::optional<ReplicaId> BestSuccessor() const;
  void HandleTimeoutNow();
  void TryTimeoutNow(ReplicaId replica);

  // raft_replication.cc
  void AppendAsLeader(EntryType type, EntryPayload payload);
  void SendAppend(ReplicaId to, Progress& progress, uint64_t max_bytes);
  void SendEntries(ReplicaId to, Progress& progress);
  /// With `context` 0 the heartbeat only carries the commit index and gets no reply.
  void SendHeartbeat(ReplicaId to, Progress& progress, uint64_t context);
  /// Whether to send the periodic heartbeat to a replica; learners get them less often.
  bool HeartbeatDue(ReplicaId to, const Progress& progress) const;
  void BroadcastHeartbeats();
  void HandleAppend(RaftMessage message);
  void StoreEntries(std::vector<LogEntry> entries);
  LogPosition AgreementHint(LogIndex from, Term term) const;
  void HandleAppendReply(const RaftMessage& message);
  void HandleHeartbeat(const RaftMessage& message);
  void HandleHeartbeatReply(const RaftMessage& message);
  void AdvanceCommit();
  void SetCommit(LogIndex index);
  void SyncProgressWithMembers();
  LogIndex LocalMatch() const;

  // raft_snapshot_transfer.cc
  void SendSnapshotChunk(ReplicaId to, Progress& progress);
  void HandleSnapshotChunk(RaftMessage message);
  void HandleSnapshotReply(const RaftMessage& message);

  // raft_reads.cc
  void StartReadRound();
  void FinishReadRound();
  void CompleteRead(const WaitingRead& read, LogIndex index);
  void SendReadRequest();
  void HandleReadRequest(const RaftMessage& message);
  void HandleReadReply(const RaftMessage& message);
  void MoveReadsToNewLeader();

  // raft_membership.cc
  absl::StatusOr<LogPosition> ProposeMembers(std::vector<GroupMember> members);
  void HandleNonMember(const RaftMessage& message);

  RaftOptions options_;
  SegmentedLog& log_;
  RandomEngine& random_;
  TimePoint now_;

  RaftRole role_ = RaftRole::kFollower;
  ReplicaId leader_;
  TimePoint leader_last_seen_;
  /// Restarted and no leader seen since; `restart_election_timeout` then applies. This shortens the
  /// recovery after a restart of all replicas. If a leader exists, its followers refuse the
  /// pre-vote.
  bool restarted_ = false;
  TimePoint election_due_;
  TimePoint heartbeat_due_;
  TimePoint leader_since_;
  /// Time of the last entry or read, while leader.
  TimePoint last_activity_;
  LogIndex commit_;
  ConfigurationHistory configurations_;
  bool removed_ = false;
  absl::Status failure_;
  absl::Status read_error_;
  /// The configurations of the log could not be read after a snapshot was installed.
  bool configurations_incomplete_ = false;

  /// Voters that granted or refused, while a candidate.
  std::map<ReplicaId, bool> votes_;
  bool campaign_is_transfer_ = false;
  std::vector<FailedElection> failed_elections_;
  std::vector<RefusedVote> refused_votes_;

  /// Other members, while leader.
  std::map<ReplicaId, Progress> progress_;
  /// First entry of the current term, while leader.
  LogIndex first_entry_of_term_;
  std::optional<ReplicaId> transferee_;
  TimePoint transfer_deadline_;

  /// Reads that wait for the next round, and (leader) those of the current round.
  std::vector<WaitingRead> waiting_reads_;
  std::vector<WaitingRead> round_reads_;
  LogIndex round_index_;
  /// Starts at 1: a heartbeat with context 0 gets no reply.
  uint64_t round_ = 1;
  bool round_under_way_ = false;
  /// Follower: reads covered by the outstanding request to the leader.
  std::vector<WaitingRead> requested_reads_;
  uint64_t read_request_number_ = 0;
  TimePoint read_request_due_;
  uint64_t next_ticket_ = 1;

  /// Follower: the snapshot being received.
  LogPosition incoming_position_;
  std::string incoming_bytes_;
  bool installing_ = false;

  std::vector<RaftMessage> messages_;
  std::vector<ConfirmedRead> reads_;
  std::optional<ReceivedSnapshot> received_;
};

}  // namespace millstair
