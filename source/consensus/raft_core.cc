#include "consensus/raft_core.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/random.h"
#include "consensus/raft_codec.h"

namespace millstair {
namespace {

/// Heartbeat interval of an idle group in multiples of the normal one; must stay well below the
/// election timeout.
constexpr int kIdleHeartbeatMultiplier = 3;

}  // namespace

absl::StatusOr<std::unique_ptr<RaftCore>> RaftCore::Create(RaftOptions options, SegmentedLog& log,
                                                           RandomEngine& random, TimePoint now,
                                                           std::vector<GroupMember> members) {
  std::unique_ptr<RaftCore> core(new RaftCore(options, log, random, now));
  if (absl::Status status = core->LoadConfigurations(std::move(members)); !status.ok()) {
    return status;
  }
  return core;
}

RaftCore::RaftCore(RaftOptions options, SegmentedLog& log, RandomEngine& random, TimePoint now)
    : options_(options), log_(log), random_(random), now_(now), commit_(log.snapshot().index) {
  leader_last_seen_ = now - options.election_timeout;
  // A random start keeps replies to requests of an earlier incarnation from matching.
  read_request_number_ = random();
  restarted_ = options_.restart_election_timeout > Duration(0) && log.last_index() != LogIndex();
  ResetElectionTimer();
}

absl::Status RaftCore::LoadConfigurations(std::vector<GroupMember> members) {
  configurations_.Reset(log_.snapshot().index, std::move(members));
  for (LogIndex at = Next(log_.snapshot().index); at <= log_.last_index(); at = Next(at)) {
    if (log_.TypeAt(at) != EntryType::kConfiguration) continue;
    auto entries = log_.Read(at, at, 0);
    if (!entries.ok()) return entries.status();
    auto decoded = DecodeMembers(*entries->front().payload);
    if (!decoded.ok()) {
      return absl::DataLossError(
          absl::StrCat(log_.folder(), ": malformed configuration at entry ", at.value()));
    }
    configurations_.Add(at, *std::move(decoded));
  }
  return absl::OkStatus();
}

void RaftCore::Tick(TimePoint now) {
  now_ = now;
  if (IsLeader()) {
    CheckQuorum();
    if (!IsLeader()) return;
    if (transferee_.has_value() && now_ >= transfer_deadline_) transferee_.reset();
    if (now_ >= heartbeat_due_) {
      heartbeat_due_ = NextHeartbeat();
      BroadcastHeartbeats();
    }
    return;
  }
  if (!requested_reads_.empty() && now_ >= read_request_due_) SendReadRequest();
  if (now_ < election_due_) return;
  ResetElectionTimer();
  const bool may_campaign = !installing_ && !removed_ && configuration().IsVoter(options_.self);
  if (may_campaign) StartPreVote();
}

void RaftCore::Step(TimePoint now, RaftMessage message) {
  now_ = now;
  if (message.to != options_.self || message.from == options_.self) return;
  if (!StepTerm(message)) return;
  switch (message.type) {
    case RaftMessageType::kPreVote:
    case RaftMessageType::kVote:
      return HandleVoteRequest(message);
    case RaftMessageType::kPreVoteReply:
    case RaftMessageType::kVoteReply:
      return HandleVoteReply(message);
    case RaftMessageType::kAppend:
      return HandleAppend(std::move(message));
    case RaftMessageType::kAppendReply:
      return HandleAppendReply(message);
    case RaftMessageType::kHeartbeat:
      return HandleHeartbeat(message);
    case RaftMessageType::kHeartbeatReply:
      return HandleHeartbeatReply(message);
    case RaftMessageType::kSnapshotChunk:
      return HandleSnapshotChunk(std::move(message));
    case RaftMessageType::kSnapshotReply:
      return HandleSnapshotReply(message);
    case RaftMessageType::kTimeoutNow:
      return HandleTimeoutNow();
    case RaftMessageType::kReadRequest:
      return HandleReadRequest(message);
    case RaftMessageType::kReadReply:
      return HandleReadReply(message);
    case RaftMessageType::kRemoved:
      if (leader_ == ReplicaId() || leader_ == message.from) removed_ = true;
      return;
  }
}

bool RaftCore::StepTerm(const RaftMessage& message) {
  const bool vote_request =
      message.type == RaftMessageType::kPreVote || message.type == RaftMessageType::kVote;
  if (message.term > term()) {
    // A replica that was isolated must not depose a leader that is still active.
    if (vote_request && !message.transfer && HasLiveLeader()) {
      RecordRefusal(message, VoteRefusal::kLiveLeader);
      HandleNonMember(message);
      return false;
    }
    const bool hypothetical = message.type == RaftMessageType::kPreVote ||
                              (message.type == RaftMessageType::kPreVoteReply && !message.reject);
    if (hypothetical) return true;
    BecomeFollower(message.term, ReplicaId());
    return true;
  }
  if (message.term < term()) {
    AnswerStaleTerm(message);
    return false;
  }
  return true;
}

void RaftCore::AnswerStaleTerm(const RaftMessage& message) {
  switch (message.type) {
    case RaftMessageType::kPreVote: {
      RecordRefusal(message, VoteRefusal::kStaleTerm);
      RaftMessage reply = MakeMessage(RaftMessageType::kPreVoteReply, message.from);
      reply.reject = true;
      return SendDurable(std::move(reply));
    }
    case RaftMessageType::kAppend:
    case RaftMessageType::kHeartbeat:
    case RaftMessageType::kSnapshotChunk: {
      // Notifies a deposed leader of the newer term.
      RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, message.from);
      reply.reject = true;
      reply.position = message.position;
      return SendDurable(std::move(reply));
    }
    default:
      return;
  }
}

RaftMessage RaftCore::MakeMessage(RaftMessageType type, ReplicaId to) const {
  RaftMessage message;
  message.type = type;
  message.from = options_.self;
  message.to = to;
  message.term = term();
  return message;
}

void RaftCore::Send(RaftMessage message) { messages_.push_back(std::move(message)); }

void RaftCore::SendDurable(RaftMessage message, bool skip_sync) {
  if (!skip_sync) message.after = log_.sequence();
  messages_.push_back(std::move(message));
}

LogPosition RaftCore::LastPosition() const {
  return {log_.last_index(), log_.TermAt(log_.last_index()).value_or(Term())};
}

void RaftCore::SetTerm(Term term, ReplicaId vote) {
  const HardState state{term, vote};
  if (state != log_.hard_state()) log_.SaveHardState(state);
}

void RaftCore::BecomeFollower(Term new_term, ReplicaId leader) {
  AbandonElection();
  if (new_term > term()) SetTerm(new_term, ReplicaId());
  role_ = RaftRole::kFollower;
  leader_ = leader;
  votes_.clear();
  progress_.clear();
  transferee_.reset();
  ResetElectionTimer();
  MoveReadsToNewLeader();
}

void RaftCore::BecomeLeader() {
  role_ = RaftRole::kLeader;
  restarted_ = false;
  leader_ = options_.self;
  leader_since_ = now_;
  heartbeat_due_ = NextHeartbeat();
  removed_ = false;
  progress_.clear();
  votes_.clear();
  SyncProgressWithMembers();
  first_entry_of_term_ = Next(log_.last_index());
  MoveReadsToNewLeader();
  AppendAsLeader(EntryType::kNoop, std::make_shared<std::string>());
}

void RaftCore::ResetElectionTimer() {
  const Duration min_timeout =
      restarted_ ? options_.restart_election_timeout : options_.election_timeout;
  const Duration max_timeout =
      restarted_ ? 3 * options_.restart_election_timeout : 2 * options_.election_timeout;
  election_due_ = now_ + DrawDuration(random_, min_timeout, max_timeout);
}

void RaftCore::OnActivity() {
  last_activity_ = now_;
  heartbeat_due_ = std::min(heartbeat_due_, now_ + options_.heartbeat);
}

bool RaftCore::IsIdle() const {
  if (now_ - last_activity_ < options_.election_timeout || commit_ != log_.last_index())
    return false;
  return std::all_of(progress_.begin(), progress_.end(), [&](const auto& item) {
    return item.second.match() == log_.last_index() && item.second.sent_commit == commit_;
  });
}

bool RaftCore::HasReplied(ReplicaId replica, TimePoint since) const {
  if (!IsLeader()) return false;
  const auto it = progress_.find(replica);
  return it != progress_.end() && it->second.HasRepliedSince(since);
}

bool RaftCore::IsUnresponsive(ReplicaId replica, TimePoint since) const {
  if (!IsLeader()) return false;
  const auto it = progress_.find(replica);
  return it != progress_.end() && it->second.last_active() < since;
}

TimePoint RaftCore::NextHeartbeat() const {
  const Duration since_epoch = now_.time_since_epoch();
  const Duration period =
      IsIdle() ? kIdleHeartbeatMultiplier * options_.heartbeat : options_.heartbeat;
  return TimePoint((since_epoch / period + 1) * period);
}

void RaftCore::OnLeaderMessage(ReplicaId leader) {
  if (role_ != RaftRole::kFollower || leader_ != leader) BecomeFollower(term(), leader);
  leader_last_seen_ = now_;
  restarted_ = false;
  removed_ = false;
  ResetElectionTimer();
}

bool RaftCore::HasLiveLeader() const {
  if (IsLeader()) return true;
  return leader_ != ReplicaId() && now_ - leader_last_seen_ < options_.election_timeout;
}

absl::StatusOr<LogPosition> RaftCore::Propose(EntryType type, EntryPayload payload) {
  if (!IsLeader()) return absl::UnavailableError("not the leader");
  if (transferee_.has_value()) return absl::UnavailableError("leadership transfer in progress");
  AppendAsLeader(type, std::move(payload));
  return LastPosition();
}

void RaftCore::LogBecameDurable() {
  if (IsLeader()) AdvanceCommit();
}

void RaftCore::Flush(TimePoint now) {
  now_ = now;
  if (!IsLeader()) {
    if (!waiting_reads_.empty() && requested_reads_.empty()) SendReadRequest();
    return;
  }
  for (auto& [replica, progress] : progress_) {
    SendEntries(replica, progress);
    const LogIndex known = std::min(progress.match(), commit_);
    if (progress.sent_commit < known) SendHeartbeat(replica, progress, 0);
  }
  StartReadRound();
}

}  // namespace millstair
