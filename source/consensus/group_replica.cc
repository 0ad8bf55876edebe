#include "consensus/group_replica.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "common/event_log.h"

namespace millstair {
namespace {

/// Committed entries are read and applied in batches of at most about this size, and messages are
/// handled in between. After a restart a replica has thousands of entries to apply. Applied at
/// once, they took 0.4 s at a third of a core, in which a new leader sent no heartbeat and
/// followers answered none, so that the leadership was lost.
constexpr uint64_t kApplyBytes = 64 << 10;
/// The same in number: 512 small entries take about as long as 64 KiB of large ones.
constexpr uint64_t kApplyEntries = 512;
/// A snapshot is taken at the latest after this multiple of `snapshot_after_entries`.
constexpr uint64_t kMaxSnapshotIntervals = 8;
/// Term of the first entry of every group, the configuration of its initial members.
constexpr Term kInitialTerm(1);
/// Pauses between attempts to resume after an I/O error.
constexpr Duration kMinResumePause = std::chrono::milliseconds(100);
constexpr Duration kMaxResumePause = std::chrono::seconds(1);
/// An error that occurs sooner than this after a resumption continues the series of pauses.
constexpr Duration kStableAfterResume = std::chrono::seconds(5);
/// Pause after a snapshot that could not be saved.
constexpr Duration kSnapshotRetryPause = std::chrono::seconds(5);
/// Minimum time between log lines about the same refusal to the same candidate.
constexpr Duration kRefusalLogInterval = std::chrono::seconds(1);

/// Whether the cause may go away while the process runs, unlike damage or a violated invariant.
bool IsTransient(const absl::Status& status) {
  return !absl::IsDataLoss(status) && !absl::IsInternal(status) && !absl::IsInvalidArgument(status);
}

std::string NodeNames(const std::vector<GroupMember>& members) {
  return absl::StrJoin(members, ",", [](std::string* out, const GroupMember& member) {
    absl::StrAppend(out, member.node.value());
  });
}

}  // namespace

absl::StatusOr<std::unique_ptr<GroupReplica>> GroupReplica::Open(
    const ReplicaContext& context, const GroupId& id, const std::string& folder,
    std::unique_ptr<StateMachine> machine, const std::vector<GroupMember>& initial_members) {
  auto log = SegmentedLog::Open(context.files, folder);
  if (!log.ok()) return log.status();
  std::unique_ptr<GroupReplica> replica(
      new GroupReplica(context, id, std::move(machine), *std::move(log)));
  if (absl::Status status = replica->Begin(initial_members); !status.ok()) return status;
  return replica;
}

GroupReplica::GroupReplica(const ReplicaContext& context, const GroupId& id,
                           std::unique_ptr<StateMachine> machine, std::unique_ptr<SegmentedLog> log)
    : context_(context),
      id_(id),
      key_(GroupKey(id)),
      machine_(std::move(machine)),
      log_(std::move(log)) {
  log_->OnDurable([this](const absl::Status& status) { HandleDurable(status); });
  if (log_->torn_bytes() > 0) {
    LogEvent(EventId::kLogTailCut, "folder={} bytes={}", log_->folder(), log_->torn_bytes());
  }
}

absl::Status GroupReplica::Begin(const std::vector<GroupMember>& initial_members) {
  const bool new_log = log_->last_index() == LogIndex(0) && log_->hard_state().term == Term(0);
  const bool is_initial_member =
      std::any_of(initial_members.begin(), initial_members.end(),
                  [&](const GroupMember& member) { return member.replica == context_.self; });
  if (new_log && is_initial_member) {
    const auto payload = std::make_shared<std::string>(EncodeMembers(initial_members));
    log_->SaveHardState({kInitialTerm, ReplicaId()});
    log_->Append({{LogIndex(1), kInitialTerm, EntryType::kConfiguration, payload}});
  }
  std::vector<GroupMember> members;
  if (absl::Status status = RestoreSnapshot(members); !status.ok()) return status;
  auto core = RaftCore::Create(CoreOptions(), *log_, context_.environment.Random(),
                               context_.environment.Now(), std::move(members));
  if (!core.ok()) return core.status();
  core_ = *std::move(core);
  return absl::OkStatus();
}

absl::Status GroupReplica::RestoreSnapshot(std::vector<GroupMember>& members) {
  if (log_->snapshot().index == LogIndex(0)) return absl::OkStatus();
  auto snapshot = log_->ReadSnapshot();
  if (!snapshot.ok()) return snapshot.status();
  auto decoded = DecodeGroupSnapshot(snapshot->state);
  if (!decoded.ok()) return decoded.status();
  applied_ = snapshot->position.index;
  members = decoded->members;
  return machine_->Restore(applied_, decoded->state);
}

RaftOptions GroupReplica::CoreOptions() const {
  RaftOptions options;
  options.self = context_.self;
  options.heartbeat = context_.timing.heartbeat;
  options.election_timeout = context_.timing.election_timeout;
  options.restart_election_timeout = context_.timing.restart_election_timeout;
  options.max_batch_bytes = context_.limits.max_batch_bytes;
  options.snapshot_chunk_bytes = context_.limits.snapshot_chunk_bytes;
  options.faults = context_.faults;
  return options;
}

std::optional<NodeId> GroupReplica::Leader() const {
  const ReplicaId leader = core_->leader();
  if (leader == ReplicaId()) return std::nullopt;
  if (const GroupMember* member = core_->configuration().Find(leader)) return member->node;
  const auto it = senders_.find(leader);
  if (it == senders_.end()) return std::nullopt;
  return it->second;
}

TimePoint GroupReplica::Deadline() const {
  return context_.environment.Now() + context_.timing.request_timeout;
}

template <class Callback, class Result>
void GroupReplica::Answer(Callback done, Result result) {
  if (!done) return;
  callbacks_.push_back([done = std::move(done), result = std::move(result)] { done(result); });
  context_.wake();
}

void GroupReplica::Propose(std::string command, ProposeCallback done) {
  if (!failure_.ok()) return Answer(std::move(done), absl::StatusOr<std::string>(failure_));
  if (command.size() > kMaxCommandBytes) {
    return Answer(std::move(done),
                  absl::StatusOr<std::string>(absl::InvalidArgumentError("command too large")));
  }
  auto payload = std::make_shared<std::string>(std::move(command));
  AwaitCommit(core_->Propose(EntryType::kCommand, std::move(payload)), std::move(done));
}

void GroupReplica::AwaitCommit(absl::StatusOr<LogPosition> position, ProposeCallback done) {
  if (!position.ok()) {
    return Answer(std::move(done), absl::StatusOr<std::string>(position.status()));
  }
  PendingProposal pending{position->term, Deadline(), std::move(done)};
  uncommitted_.push_back({position->index, context_.environment.Now()});
  // A proposal may be pending at this index if leadership was lost and regained since `UpdateRole`.
  std::swap(proposals_[position->index], pending);
  Answer(std::move(pending.done),
         absl::StatusOr<std::string>(absl::UnavailableError("leadership was lost")));
  context_.wake();
}

Duration GroupReplica::UncommittedFor() const {
  if (!IsLeader() || uncommitted_.empty()) return Duration(0);
  return context_.environment.Now() - uncommitted_.front().proposed_at;
}

void GroupReplica::AwaitMembershipChange(absl::StatusOr<LogPosition> position,
                                         StatusCallback done) {
  AwaitCommit(std::move(position),
              [done = std::move(done)](const absl::StatusOr<std::string>& result) {
                if (done) done(result.status());
              });
}

void GroupReplica::ConfirmRead(ReadCallback done) {
  if (!failure_.ok()) return Answer(std::move(done), absl::StatusOr<LogIndex>(failure_));
  reads_[core_->RequestRead()] = {Deadline(), std::move(done)};
  context_.wake();
}

void GroupReplica::AddLearner(GroupMember member, StatusCallback done) {
  if (!failure_.ok()) return Answer(std::move(done), failure_);
  if (core_->configuration().Find(member.replica) != nullptr) {
    return Answer(std::move(done), absl::OkStatus());
  }
  AwaitMembershipChange(core_->AddLearner(std::move(member)), std::move(done));
}

void GroupReplica::Promote(ReplicaId replica, StatusCallback done) {
  if (!failure_.ok()) return Answer(std::move(done), failure_);
  if (core_->configuration().IsVoter(replica)) return Answer(std::move(done), absl::OkStatus());
  AwaitMembershipChange(core_->Promote(replica), std::move(done));
}

void GroupReplica::RemoveMember(ReplicaId replica, StatusCallback done) {
  if (!failure_.ok()) return Answer(std::move(done), failure_);
  if (core_->IsLeader() && core_->configuration().Find(replica) == nullptr) {
    return Answer(std::move(done), absl::OkStatus());
  }
  AwaitMembershipChange(core_->RemoveMember(replica), std::move(done));
}

void GroupReplica::TransferLeadership(StatusCallback done) {
  if (!failure_.ok()) return Answer(std::move(done), failure_);
  if (transfer_done_) {
    return Answer(std::move(done),
                  absl::FailedPreconditionError("a leadership transfer is already in progress"));
  }
  absl::Status status = core_->TransferLeadership(context_.environment.Now());
  if (!status.ok()) return Answer(std::move(done), std::move(status));
  transfer_done_ = done ? std::move(done) : [](const absl::Status&) {};
  context_.wake();
}

void GroupReplica::Tick(TimePoint now) {
  if (!failure_.ok()) {
    if (resume_due_.has_value() && now >= *resume_due_) Resume(now);
    return;
  }
  core_->Tick(now);
  ExpireRequests(now);
}

void GroupReplica::Receive(const NodeId& from, RaftMessage message) {
  if (!failure_.ok() || message.to != context_.self) return;
  if (core_->configuration().Find(message.from) == nullptr) senders_[message.from] = from;
  core_->Step(context_.environment.Now(), std::move(message));
}

void GroupReplica::HandleDurable(const absl::Status& status) {
  const bool resumes = std::exchange(resuming_log_, false);
  if (!status.ok()) return Halt(status);
  if (resumes && resume_due_.has_value()) FinishResume();
  core_->LogBecameDurable();
  context_.wake();
}

void GroupReplica::ProcessPending(ReplicaOutput& output) {
  if (failure_.ok()) {
    core_->Flush(context_.environment.Now());
    log_->Flush();
    InstallReceivedSnapshot();
    ApplyCommitted();
    SaveSnapshotIfDue();
    CollectReads();
    AnswerAppliedReads();
    if (!core_->failure().ok()) Halt(core_->failure());
    if (absl::Status error = core_->TakeReadError(); !error.ok()) Halt(error);
  }
  UpdateRole();
  LogElections();
  CollectMessages(output);
  for (auto& callback : callbacks_) output.callbacks.push_back(std::move(callback));
  callbacks_.clear();
}

void GroupReplica::InstallReceivedSnapshot() {
  if (!failure_.ok()) return;
  auto received = core_->TakeSnapshot();
  if (!received.has_value()) return;
  auto snapshot = DecodeSnapshotFile("received snapshot", received->bytes);
  auto decoded = snapshot.ok() ? DecodeGroupSnapshot(snapshot->state)
                               : absl::StatusOr<GroupSnapshot>(snapshot.status());
  if (!decoded.ok() || snapshot->position != received->position || log_->saving_snapshot()) {
    return core_->SnapshotRejected();
  }
  const auto members = decoded->members;
  const LogPosition position = snapshot->position;
  const auto state = std::make_shared<const std::string>(std::move(snapshot->state));
  installing_snapshot_ = true;
  log_->SaveSnapshot(position, {*state},
                     alive_.Guard([this, position, members, state](const absl::Status& status) {
                       if (status.ok()) return FinishInstall(position, members, *state);
                       installing_snapshot_ = false;
                       core_->SnapshotRejected();
                       Halt(status);
                     }));
}

void GroupReplica::FinishInstall(const LogPosition& position,
                                 const std::vector<GroupMember>& members,
                                 const std::string& state) {
  installing_snapshot_ = false;
  auto decoded = DecodeGroupSnapshot(state);
  absl::Status status = decoded.status();
  if (status.ok()) status = machine_->Restore(position.index, decoded->state);
  if (!status.ok()) return Halt(status);
  applied_ = position.index;
  core_->SnapshotInstalled(position, members);
  LogEvent(EventId::kSnapshotInstalled, "group={} index={} bytes={}", id_, position.index,
           state.size());
  context_.wake();
}

void GroupReplica::ApplyCommitted() {
  // A received snapshot replaces the log and then the state of the machine, which leaves nothing to
  // apply.
  if (!failure_.ok() || installing_snapshot_ || applied_ >= core_->commit()) return;
  const LogIndex to = std::min(core_->commit(), LogIndex(applied_.value() + kApplyEntries));
  auto entries = log_->Read(Next(applied_), to, kApplyBytes);
  if (!entries.ok()) return Halt(entries.status());
  for (const LogEntry& entry : *entries) ApplyEntry(entry);
  if (applied_ < core_->commit()) context_.wake();
}

void GroupReplica::ApplyEntry(const LogEntry& entry) {
  std::string result;
  if (entry.type == EntryType::kCommand) result = machine_->Apply(entry.index, *entry.payload);
  applied_ = entry.index;
  applied_bytes_ += entry.payload->size();
  while (!uncommitted_.empty() && uncommitted_.front().index <= applied_) uncommitted_.pop_front();
  const auto it = proposals_.find(entry.index);
  if (it == proposals_.end()) return;
  PendingProposal pending = std::move(it->second);
  proposals_.erase(it);
  if (pending.term == entry.term) {
    return Answer(std::move(pending.done), absl::StatusOr<std::string>(std::move(result)));
  }
  Answer(
      std::move(pending.done),
      absl::StatusOr<std::string>(absl::UnavailableError("entry was replaced by another leader")));
}

void GroupReplica::SaveSnapshotIfDue() {
  const uint64_t limit = context_.limits.snapshot_after_entries;
  // A snapshot between two batches of a backlog would only delay the rest of it.
  if (!failure_.ok() || log_->saving_snapshot() || applied_ < core_->commit()) return;
  if (context_.environment.Now() < next_snapshot_) return;
  const uint64_t entries = applied_.value() - log_->snapshot().index.value();
  // A large state is written less often, so that snapshots write no more bytes than the log, up to
  // the maximum interval.
  const bool worthwhile =
      applied_bytes_ >= log_->snapshot_file_bytes() || entries >= kMaxSnapshotIntervals * limit;
  if (entries < limit || !worthwhile) return;
  const uint64_t covered_bytes = std::exchange(applied_bytes_, 0);
  const LogPosition position{applied_, log_->TermAt(applied_).value_or(Term())};
  const std::string header = EncodeGroupSnapshotHeader(core_->MembersAt(applied_));
  const SnapshotParts state = machine_->TakeSnapshotParts();
  std::vector<std::string_view> parts = {header};
  for (const auto& part : state) parts.emplace_back(*part);
  // Keeps recent entries for slow followers, which is cheaper than sending a snapshot.
  const LogIndex compact_to(position.index.value() - limit / 2);
  log_->SaveSnapshot(
      position, parts,
      alive_.Guard([this, position, compact_to, covered_bytes](const absl::Status& status) {
        if (!status.ok()) return DeferSnapshot(covered_bytes, status);
        log_->Compact(compact_to);
        core_->Compacted(position.index);
      }));
}

void GroupReplica::DeferSnapshot(uint64_t covered_bytes, const absl::Status& status) {
  applied_bytes_ += covered_bytes;
  next_snapshot_ = context_.environment.Now() + kSnapshotRetryPause;
  LogEvent(EventId::kSnapshotNotSaved, "group={} error=\"{}\"", id_, std::string(status.message()));
}

void GroupReplica::CollectReads() {
  for (const ConfirmedRead& read : core_->TakeReads()) {
    const auto it = reads_.find(read.ticket);
    if (it == reads_.end()) continue;
    applying_reads_.emplace(read.index, std::move(it->second));
    reads_.erase(it);
  }
}

void GroupReplica::AnswerAppliedReads() {
  while (!applying_reads_.empty() && applying_reads_.begin()->first <= applied_) {
    const auto it = applying_reads_.begin();
    Answer(std::move(it->second.done), absl::StatusOr<LogIndex>(it->first));
    applying_reads_.erase(it);
  }
}

void GroupReplica::ExpireRequests(TimePoint now) {
  const auto timeout_error = absl::DeadlineExceededError("no quorum replied before the deadline");
  while (!proposals_.empty() && proposals_.begin()->second.deadline <= now) {
    Answer(std::move(proposals_.begin()->second.done), absl::StatusOr<std::string>(timeout_error));
    proposals_.erase(proposals_.begin());
  }
  while (!reads_.empty() && reads_.begin()->second.deadline <= now) {
    core_->ForgetRead(reads_.begin()->first);
    Answer(std::move(reads_.begin()->second.done), absl::StatusOr<LogIndex>(timeout_error));
    reads_.erase(reads_.begin());
  }
  for (auto it = applying_reads_.begin(); it != applying_reads_.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    Answer(std::move(it->second.done), absl::StatusOr<LogIndex>(timeout_error));
    it = applying_reads_.erase(it);
  }
}

void GroupReplica::UpdateRole() {
  const bool leads = IsLeader();
  if (transfer_done_ && !(leads && core_->transferring())) {
    Answer(std::exchange(transfer_done_, nullptr),
           leads ? absl::DeadlineExceededError("leadership transfer timed out") : absl::OkStatus());
  }
  if (was_leader_ && !leads) {
    for (auto& [index, pending] : proposals_) {
      Answer(std::move(pending.done),
             absl::StatusOr<std::string>(absl::UnavailableError("leadership was lost")));
    }
    proposals_.clear();
    uncommitted_.clear();
  }
  if (was_leader_ != leads) {
    LogEvent(leads ? EventId::kLeadershipGained : EventId::kLeadershipLost, "group={} term={}", id_,
             CurrentTerm());
  }
  was_leader_ = leads;
}

void GroupReplica::LogElections() {
  for (const FailedElection& failed : core_->TakeFailedElections()) {
    LogEvent(EventId::kElectionFailed,
             "group={} term={} pre_vote={} last_index={} last_term={} granted={} refused={} "
             "unanswered={}",
             id_, failed.term, failed.pre_vote, failed.last.index, failed.last.term,
             NodeNames(failed.granted), NodeNames(failed.refused), NodeNames(failed.unanswered));
  }
  for (const RefusedVote& refused : core_->TakeRefusedVotes()) {
    if (!RefusalLogDue(refused)) continue;
    LogEvent(EventId::kVoteRefused,
             "group={} term={} pre_vote={} candidate={} last_index={} last_term={} reason={}", id_,
             refused.term, refused.pre_vote, refused.candidate, refused.candidate_last.index,
             refused.candidate_last.term, VoteRefusalName(refused.reason));
  }
}

bool GroupReplica::RefusalLogDue(const RefusedVote& refused) {
  const TimePoint now = context_.environment.Now();
  const auto [logged, first] = logged_refusals_.try_emplace(refused.candidate);
  LoggedRefusal& last = logged->second;
  if (!first && last.reason == refused.reason && now - last.at < kRefusalLogInterval) return false;
  last = {refused.reason, now};
  return true;
}

void GroupReplica::CollectMessages(ReplicaOutput& output) {
  while (!messages_awaiting_sync_.empty() &&
         messages_awaiting_sync_.front().after <= log_->durable_sequence()) {
    Emit(std::move(messages_awaiting_sync_.front()), output);
    messages_awaiting_sync_.pop_front();
  }
  for (RaftMessage& message : core_->TakeMessages()) {
    if (message.after <= log_->durable_sequence()) {
      Emit(std::move(message), output);
    } else if (failure_.ok()) {
      messages_awaiting_sync_.push_back(std::move(message));
    }
  }
}

void GroupReplica::Emit(RaftMessage message, ReplicaOutput& output) {
  NodeId node;
  if (const GroupMember* member = core_->configuration().Find(message.to)) {
    node = member->node;
  } else if (const auto it = senders_.find(message.to); it != senders_.end()) {
    node = it->second;
  } else {
    return;
  }
  output.messages.push_back({std::move(node), {id_, key_, std::move(message)}});
}

void GroupReplica::FailAll(const absl::Status& status) {
  for (auto& [index, pending] : proposals_) {
    Answer(std::move(pending.done), absl::StatusOr<std::string>(status));
  }
  proposals_.clear();
  uncommitted_.clear();
  for (auto& [ticket, pending] : reads_) {
    Answer(std::move(pending.done), absl::StatusOr<LogIndex>(status));
  }
  reads_.clear();
  for (auto& [index, pending] : applying_reads_) {
    Answer(std::move(pending.done), absl::StatusOr<LogIndex>(status));
  }
  applying_reads_.clear();
  if (transfer_done_) Answer(std::exchange(transfer_done_, nullptr), status);
}

void GroupReplica::Close(ReplicaOutput& output) {
  failure_ = absl::UnavailableError("the group was dropped");
  resume_due_.reset();
  FailAll(failure_);
  for (auto& callback : callbacks_) output.callbacks.push_back(std::move(callback));
  callbacks_.clear();
}

void GroupReplica::Halt(const absl::Status& status) {
  const TimePoint now = context_.environment.Now();
  if (!failure_.ok()) {
    if (!IsTransient(status)) resume_due_.reset();
    // An attempt to resume failed.
    if (resume_due_.has_value()) ScheduleResume(now);
    return;
  }
  LogEvent(EventId::kReplicaHalted, "group={} error=\"{}\"", id_, std::string(status.message()));
  failure_ = absl::UnavailableError(absl::StrCat("replica stopped: ", status.message()));
  FailAll(failure_);
  messages_awaiting_sync_.clear();
  // As if the process had ended; after a violated invariant they may be wrong.
  core_->TakeMessages();
  stopped_at_ = now;
  const bool stable = !resumed_at_.has_value() || now - *resumed_at_ > kStableAfterResume;
  if (stable) resume_pause_ = Duration(0);
  if (IsTransient(status)) ScheduleResume(now);
  // Heartbeats of a leader that cannot write would keep the group from electing another.
  core_->StepDown(now);
  context_.wake();
}

void GroupReplica::ScheduleResume(TimePoint now) {
  resume_pause_ = std::clamp(2 * resume_pause_, kMinResumePause, kMaxResumePause);
  resume_due_ = now + resume_pause_;
}

void GroupReplica::Resume(TimePoint now) {
  ScheduleResume(now);
  if (resuming_log_) return;
  if (log_->failure().ok()) return FinishResume();
  resuming_log_ = true;
  log_->Resume();
}

void GroupReplica::FinishResume() {
  const TimePoint now = context_.environment.Now();
  if (absl::Status status = core_->Rejoin(now); !status.ok()) return;
  failure_ = absl::OkStatus();
  resume_due_.reset();
  resumed_at_ = now;
  LogEvent(EventId::kReplicaResumed, "group={} stopped_ms={}", id_,
           std::chrono::duration_cast<std::chrono::milliseconds>(now - stopped_at_).count());
  context_.wake();
}

}  // namespace millstair
