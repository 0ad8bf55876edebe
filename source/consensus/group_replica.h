/// The local replica of one Raft group: combines core, log and state machine, and tracks pending
/// requests.
///
/// An I/O error stops it: it gives up leadership, fails all requests and ignores messages, as if
/// the process had ended. It takes part again once the log has made durable what it held back.
/// After damage or a violated invariant it stays stopped.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "consensus/group_host.h"
#include "consensus/raft_codec.h"
#include "consensus/raft_core.h"
#include "consensus/raft_group.h"
#include "consensus/state_machine.h"
#include "storage/segmented_log.h"

namespace millstair {

/// Dependencies that the host provides; they outlive the replica.
struct ReplicaContext {
  Environment& environment;
  FileSystem& files;
  ReplicaId self;
  ConsensusTiming timing;
  ConsensusLimits limits;
  ConsensusFaults faults;
  /// Requests a call of `ProcessPending` from the host.
  std::function<void()> wake;
};

/// A message and its destination node.
struct OutgoingMessage {
  NodeId node;
  AddressedRaftMessage addressed;
};

/// Output of `ProcessPending`: messages to send, then callbacks to run. A callback may destroy the
/// replica.
struct ReplicaOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<std::function<void()>> callbacks;
};

class GroupReplica : public RaftGroup {
 public:
  /// Opens the group's log in `folder`. A new log starts with `initial_members` if this replica is
  /// one of them; otherwise it stays empty until a leader sends entries. DataLoss names the damaged
  /// file.
  static absl::StatusOr<std::unique_ptr<GroupReplica>> Open(
      const ReplicaContext& context, const GroupId& id, const std::string& folder,
      std::unique_ptr<StateMachine> machine, const std::vector<GroupMember>& initial_members);

  void Tick(TimePoint now);
  void Receive(const NodeId& from, RaftMessage message);
  /// Processes pending work and appends messages and callbacks to `output`.
  void ProcessPending(ReplicaOutput& output);

  /// Called before the group is dropped: fails all pending requests and adds their callbacks to
  /// `output`.
  void Close(ReplicaOutput& output);

  StateMachine& machine() { return *machine_; }
  uint64_t key() const { return key_; }
  const std::string& folder() const { return log_->folder(); }
  /// Index of the entry with the current members.
  LogIndex ConfigurationIndex() const { return core_->configuration().index; }

  const GroupId& id() const override { return id_; }
  bool IsLeader() const override { return failure_.ok() && core_->IsLeader(); }
  std::optional<NodeId> Leader() const override;
  Term CurrentTerm() const override { return core_->term(); }
  LogIndex AppliedIndex() const override { return applied_; }
  std::vector<GroupMember> Members() const override { return core_->configuration().members; }
  bool HasCommittedMembers() const override { return core_->HasCommittedConfiguration(); }
  bool HasReplied(ReplicaId replica, TimePoint since) const override {
    return failure_.ok() && core_->HasReplied(replica, since);
  }
  bool IsUnresponsive(ReplicaId replica, TimePoint since) const override {
    return failure_.ok() && core_->IsUnresponsive(replica, since);
  }
  Duration UncommittedFor() const override;
  const absl::Status& Failure() const override { return failure_; }
  void Propose(std::string command, std::function<void(absl::StatusOr<std::string>)> done) override;
  void ConfirmRead(std::function<void(absl::StatusOr<LogIndex>)> done) override;
  void AddLearner(GroupMember member, std::function<void(absl::Status)> done) override;
  void Promote(ReplicaId replica, std::function<void(absl::Status)> done) override;
  void RemoveMember(ReplicaId replica, std::function<void(absl::Status)> done) override;
  void TransferLeadership(std::function<void(absl::Status)> done) override;

 private:
  using ProposeCallback = std::function<void(absl::StatusOr<std::string>)>;
  using ReadCallback = std::function<void(absl::StatusOr<LogIndex>)>;
  using StatusCallback = std::function<void(absl::Status)>;
  struct PendingProposal {
    Term term;
    TimePoint deadline;
    ProposeCallback done;
  };
  struct UncommittedProposal {
    LogIndex index;
    TimePoint proposed_at;
  };
  struct PendingRead {
    TimePoint deadline;
    ReadCallback done;
  };

  GroupReplica(const ReplicaContext& context, const GroupId& id,
               std::unique_ptr<StateMachine> machine, std::unique_ptr<SegmentedLog> log);
  absl::Status Begin(const std::vector<GroupMember>& initial_members);
  absl::Status RestoreSnapshot(std::vector<GroupMember>& members);
  RaftOptions CoreOptions() const;

  void AwaitCommit(absl::StatusOr<LogPosition> position, ProposeCallback done);
  void AwaitMembershipChange(absl::StatusOr<LogPosition> position, StatusCallback done);
  TimePoint Deadline() const;
  template <class Callback, class Result>
  void Answer(Callback done, Result result);

  void HandleDurable(const absl::Status& status);
  void InstallReceivedSnapshot();
  void FinishInstall(const LogPosition& position, const std::vector<GroupMember>& members,
                     const std::string& state);
  void ApplyCommitted();
  void ApplyEntry(const LogEntry& entry);
  void SaveSnapshotIfDue();
  void DeferSnapshot(uint64_t covered_bytes, const absl::Status& status);
  void CollectReads();
  void AnswerAppliedReads();
  void ExpireRequests(TimePoint now);
  void UpdateRole();
  void LogElections();
  /// A candidate repeats its requests until there is a leader; a repeated refusal is logged once in
  /// a while.
  bool RefusalLogDue(const RefusedVote& refused);
  void CollectMessages(ReplicaOutput& output);
  void Emit(RaftMessage message, ReplicaOutput& output);
  void FailAll(const absl::Status& status);
  void Halt(const absl::Status& status);
  /// Tries to end a stop.
  void Resume(TimePoint now);
  void FinishResume();
  void ScheduleResume(TimePoint now);

  const ReplicaContext& context_;
  GroupId id_;
  uint64_t key_;
  std::unique_ptr<StateMachine> machine_;
  std::unique_ptr<SegmentedLog> log_;
  std::unique_ptr<RaftCore> core_;
  /// Not OK while the replica is stopped.
  absl::Status failure_;
  TimePoint stopped_at_;
  /// Time of the next attempt to resume; nullopt if none is due or it was the last.
  std::optional<TimePoint> resume_due_;
  Duration resume_pause_{0};
  /// The log is being resumed and will report the outcome.
  bool resuming_log_ = false;
  std::optional<TimePoint> resumed_at_;
  /// A snapshot that could not be saved is not tried again before this.
  TimePoint next_snapshot_;
  LogIndex applied_;
  /// Bytes of commands applied since the last snapshot.
  uint64_t applied_bytes_ = 0;
  /// A received snapshot is being saved; the machine gets its state afterwards.
  bool installing_snapshot_ = false;
  bool was_leader_ = false;

  /// Deadlines increase with the index (proposals) and the ticket (reads).
  std::map<LogIndex, PendingProposal> proposals_;
  /// Own proposals of this leadership that are not applied yet, oldest first; also those whose
  /// deadline has passed.
  std::deque<UncommittedProposal> uncommitted_;
  std::map<uint64_t, PendingRead> reads_;
  /// Confirmed reads that wait for their index to be applied locally.
  std::multimap<LogIndex, PendingRead> applying_reads_;
  StatusCallback transfer_done_;
  /// Messages held back until the log is durable up to their `after`.
  std::deque<RaftMessage> messages_awaiting_sync_;
  /// By candidate: the reason logged last, and when.
  struct LoggedRefusal {
    VoteRefusal reason = VoteRefusal::kLogBehind;
    TimePoint at;
  };
  std::map<ReplicaId, LoggedRefusal> logged_refusals_;
  /// Nodes of replicas that sent a message but are not in the current configuration.
  std::map<ReplicaId, NodeId> senders_;
  std::vector<std::function<void()>> callbacks_;
  AliveFlag alive_;
};

}  // namespace millstair
