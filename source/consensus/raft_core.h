/// The Raft algorithm of one replica, without I/O: messages and time go in, messages come out.
///
/// The caller feeds `Step`, `Tick` and `LogBecameDurable`, calls `Flush` once it has fed what there
/// was, then takes `TakeMessages`, `TakeReads` and `commit`. Each message tells by `after` up to
/// where the own log must be durable before it leaves, so nothing is promised that a crash undoes.
///
/// Invariants: a replica votes once a term and keeps the vote durably; it acknowledges only durable
/// entries; a leader counts only replicas of entries of its own term; a read is answered only after
/// a quorum of voters answered a heartbeat that was sent later than the read was asked.
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
  /// The same for the first election after a restart, up to three times this; 0 makes no
  /// difference.
  Duration restart_election_timeout{0};
  uint64_t max_batch_bytes = 256 * 1024;
  uint64_t snapshot_chunk_bytes = 256 * 1024;
  /// Append messages on their way to one follower.
  size_t window = 32;
  ConsensusFaults faults;
};

/// A read of this replica that was confirmed.
struct ConfirmedRead {
  uint64_t ticket = 0;
  LogIndex index;
};

/// A whole snapshot file that came from the leader.
struct ReceivedSnapshot {
  LogPosition position;
  std::string bytes;
};

class RaftCore {
 public:
  /// `log` and `random` must outlive it. `members` hold as of the log's snapshot (or are empty).
  /// DataLoss if a configuration entry of the log does not decode.
  static absl::StatusOr<std::unique_ptr<RaftCore>> Create(RaftOptions options, SegmentedLog& log,
                                                          RandomEngine& random, TimePoint now,
                                                          std::vector<GroupMember> members);

  void Tick(TimePoint now);
  void Step(TimePoint now, RaftMessage message);
  void LogBecameDurable();
  /// Sends what is due: entries, a commit index that moved, a round of read confirmation.
  void Flush(TimePoint now);

  /// Position of the new entry. Unavailable if this replica does not lead or hands over.
  absl::StatusOr<LogPosition> Propose(EntryType type, EntryPayload payload);
  /// The answer comes by TakeReads with the returned ticket, perhaps never.
  uint64_t RequestRead();
  void ForgetRead(uint64_t ticket);

  /// Proposes the members that follow from adding, promoting or removing one.
  absl::StatusOr<LogPosition> AddLearner(GroupMember member);
  absl::StatusOr<LogPosition> Promote(ReplicaId replica);
  absl::StatusOr<LogPosition> RemoveMember(ReplicaId replica);
  /// Starts to hand over. FailedPrecondition if no other voter is fit.
  absl::Status TransferLeadership(TimePoint now);
  bool transferring() const { return transferee_.has_value(); }

  /// A received snapshot was saved to the log and restored.
  void SnapshotInstalled(const LogPosition& position, std::vector<GroupMember> members);
  /// A received snapshot could not be used; the leader will send again.
  void SnapshotRejected() { installing_ = false; }
  void Compacted(LogIndex index) { configurations_.Compact(index); }

  std::vector<RaftMessage> TakeMessages() { return std::exchange(messages_, {}); }
  std::vector<ConfirmedRead> TakeReads() { return std::exchange(reads_, {}); }
  std::optional<ReceivedSnapshot> TakeSnapshot() { return std::exchange(received_, {}); }

  RaftRole role() const { return role_; }
  bool IsLeader() const { return role_ == RaftRole::kLeader; }
  Term term() const { return log_.hard_state().term; }
  ReplicaId leader() const { return leader_; }
  LogIndex commit() const { return commit_; }
  const Configuration& configuration() const { return configurations_.Current(); }
  const std::vector<GroupMember>& MembersAt(LogIndex index) const {
    return configurations_.At(index).members;
  }
  /// Told by the leader that this replica is no member any more.
  bool removed() const { return removed_; }
  /// The log gave an error or contradicts what was committed; the replica must stop.
  const absl::Status& failure() const { return failure_; }

 private:
  struct WaitingRead {
    /// 0 is this replica.
    ReplicaId from;
    uint64_t ticket = 0;
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
  /// Heartbeats of all groups of a node fall due together, so that they travel in one batch.
  TimePoint NextHeartbeat() const;
  /// A quiet group beats at its normal pace again.
  void OnActivity();
  /// Nothing was asked for a while and all members have everything.
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
  bool LogIsUpToDate(const LogPosition& last) const;
  void CheckQuorum();
  bool QuorumActive(const Configuration& configuration) const;
  void HandleTimeoutNow();
  void TryTimeoutNow(ReplicaId replica);

  // raft_replication.cc
  void AppendAsLeader(EntryType type, EntryPayload payload);
  void SendAppend(ReplicaId to, Progress& progress, uint64_t max_bytes);
  void SendEntries(ReplicaId to, Progress& progress);
  /// With `context` 0 it only tells the commit index and gets no reply.
  void SendHeartbeat(ReplicaId to, Progress& progress, uint64_t context);
  /// Whether a replica is to get the next periodic heartbeat: voters get all, learners some.
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
  /// It came back and has not heard of a leader in this life: there is none to be patient with. If
  /// there is one after all, those that hear it refuse the pre-vote. After a fault of all replicas
  /// a try that fails because others are not back yet is so repeated soon, and not an election
  /// timeout later (0.6 to 1.2 s where it is set to 600 ms).
  bool restarted_ = false;
  TimePoint election_due_;
  TimePoint heartbeat_due_;
  TimePoint leader_since_;
  /// Last entry or read, while leader.
  TimePoint last_activity_;
  LogIndex commit_;
  ConfigurationHistory configurations_;
  bool removed_ = false;
  absl::Status failure_;

  /// Voters that granted or refused, while a candidate.
  std::map<ReplicaId, bool> votes_;
  bool campaign_is_transfer_ = false;

  /// Other members, while leader.
  std::map<ReplicaId, Progress> progress_;
  /// First entry of the own term, while leader.
  LogIndex first_entry_of_term_;
  std::optional<ReplicaId> transferee_;
  TimePoint transfer_deadline_;

  /// Leader: reads that wait for the next round, and those of the round under way.
  std::vector<WaitingRead> waiting_reads_;
  std::vector<WaitingRead> round_reads_;
  LogIndex round_index_;
  /// Numbers of rounds start after 1, so that every heartbeat with a reply has a context.
  uint64_t round_ = 1;
  bool round_under_way_ = false;
  /// Follower: reads covered by the request under way.
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
