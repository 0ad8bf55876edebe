/// Replication of entries, heartbeats and the commit index.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "consensus/raft_codec.h"
#include "consensus/raft_core.h"

namespace millstair {
namespace {

/// Maximum size of the entries sent with a probe, so that a follower that agrees proceeds at once.
constexpr uint64_t kProbeBytes = 4096;

/// Heartbeat interval of learners in multiples of the normal one. Learners do not count for a
/// quorum; their heartbeats only serve to detect lost messages and to show that the leader is
/// alive.
constexpr int kLearnerHeartbeatMultiplier = 3;

}  // namespace

void RaftCore::AppendAsLeader(EntryType type, EntryPayload payload) {
  OnActivity();
  log_.Append({{Next(log_.last_index()), term(), type, std::move(payload)}});
  if (options_.faults.ack_before_sync) AdvanceCommit();
}

LogIndex RaftCore::LocalMatch() const {
  return options_.faults.ack_before_sync ? log_.last_index() : log_.durable_index();
}

void RaftCore::SyncProgressWithMembers() {
  std::erase_if(progress_,
                [&](const auto& item) { return configuration().Find(item.first) == nullptr; });
  for (const GroupMember& member : configuration().members) {
    if (member.replica == options_.self) continue;
    progress_.try_emplace(member.replica, Next(log_.last_index()), now_);
  }
}

void RaftCore::SendEntries(ReplicaId to, Progress& progress) {
  if (progress.CanProbe()) return SendAppend(to, progress, kProbeBytes);
  while (progress.WindowOpen(options_.window) && progress.next() <= log_.last_index()) {
    const LogIndex before = progress.next();
    SendAppend(to, progress, options_.max_batch_bytes);
    if (progress.next() == before) return;
  }
}

void RaftCore::SendAppend(ReplicaId to, Progress& progress, uint64_t max_bytes) {
  const LogIndex previous(progress.next().value() - 1);
  const auto previous_term = log_.TermAt(previous);
  if (!previous_term.has_value()) {
    progress.BeginSnapshot(log_.snapshot(), now_);
    return SendSnapshotChunk(to, progress);
  }
  RaftMessage message = MakeMessage(RaftMessageType::kAppend, to);
  message.position = {previous, *previous_term};
  message.commit = commit_;
  if (max_bytes > 0 && progress.next() <= log_.last_index()) {
    auto entries = log_.Read(progress.next(), log_.last_index(), max_bytes);
    if (!entries.ok()) {
      read_error_ = entries.status();
      return;
    }
    message.entries = *std::move(entries);
  }
  const LogIndex last(previous.value() + message.entries.size());
  progress.sent_commit = std::max(progress.sent_commit, std::min(commit_, last));
  if (progress.state() == ProgressState::kProbe) {
    progress.RecordProbe();
  } else if (!message.entries.empty()) {
    progress.RecordSent(last);
  }
  Send(std::move(message));
}

void RaftCore::SendHeartbeat(ReplicaId to, Progress& progress, uint64_t context) {
  RaftMessage message = MakeMessage(RaftMessageType::kHeartbeat, to);
  message.commit = std::min(progress.match(), commit_);
  message.context = context;
  progress.sent_commit = message.commit;
  Send(std::move(message));
}

bool RaftCore::HeartbeatDue(ReplicaId to, const Progress& progress) const {
  if (configuration().IsVoter(to) || !progress.heartbeat_sent) return true;
  // Allows half a heartbeat of tick jitter.
  const Duration period = kLearnerHeartbeatMultiplier * options_.heartbeat;
  return now_ - *progress.heartbeat_sent >= period - options_.heartbeat / 2;
}

void RaftCore::BroadcastHeartbeats() {
  for (auto& [replica, progress] : progress_) {
    if (!HeartbeatDue(replica, progress)) continue;
    progress.heartbeat_sent = now_;
    if (progress.state() == ProgressState::kProbe) {
      // A replica without the group opens it on an append; heartbeats do not name the group.
      SendAppend(replica, progress, 0);
    }
    SendHeartbeat(replica, progress, round_);
    const Duration chunk_timeout = options_.election_timeout / 2;
    if (progress.state() == ProgressState::kSnapshot &&
        now_ - progress.chunk_sent > chunk_timeout) {
      SendSnapshotChunk(replica, progress);
    }
  }
}

void RaftCore::HandleAppend(RaftMessage message) {
  if (IsLeader()) {
    failure_ = absl::InternalError(absl::StrCat("two leaders in term ", term().value()));
    return;
  }
  OnLeaderMessage(message.from);
  if (installing_) return;
  RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, message.from);
  if (message.position.index < commit_) {
    // Committed entries are identical on all replicas, so these entries match.
    reply.position.index = commit_;
    return SendDurable(std::move(reply));
  }
  if (log_.TermAt(message.position.index) != message.position.term) {
    reply.reject = true;
    reply.position = message.position;
    reply.hint =
        AgreementHint(std::min(message.position.index, log_.last_index()), message.position.term);
    return SendDurable(std::move(reply));
  }
  const LogIndex last(message.position.index.value() + message.entries.size());
  StoreEntries(std::move(message.entries));
  if (!failure_.ok()) return;
  SetCommit(std::min(message.commit, last));
  reply.position.index = last;
  SendDurable(std::move(reply), options_.faults.ack_before_sync);
}

void RaftCore::StoreEntries(std::vector<LogEntry> entries) {
  size_t known = 0;
  while (known < entries.size() && log_.TermAt(entries[known].index) == entries[known].term) {
    ++known;
  }
  entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(known));
  if (entries.empty()) return;
  const LogIndex first = entries.front().index;
  if (first <= commit_) {
    failure_ =
        absl::DataLossError(absl::StrCat("leader ", leader_.value(), " of term ", term().value(),
                                         " conflicts with committed entry ", first.value()));
    return;
  }
  configurations_.TruncateFrom(first);
  for (const LogEntry& entry : entries) {
    if (entry.type != EntryType::kConfiguration) continue;
    auto members = DecodeMembers(*entry.payload);
    if (members.ok()) configurations_.Add(entry.index, *std::move(members));
  }
  log_.Append(entries);
}

LogPosition RaftCore::AgreementHint(LogIndex from, Term term) const {
  LogIndex at = from;
  while (at > log_.base_index() && log_.TermAt(at).value_or(Term()) > term) {
    at = LogIndex(at.value() - 1);
  }
  return {at, log_.TermAt(at).value_or(Term())};
}

void RaftCore::HandleAppendReply(const RaftMessage& message) {
  if (!IsLeader()) return;
  const auto it = progress_.find(message.from);
  if (it == progress_.end()) return;
  Progress& progress = it->second;
  progress.RecordActivity(now_);
  if (message.reject) {
    LogIndex hint = message.hint.index;
    while (hint > log_.base_index() && log_.TermAt(hint).value_or(Term()) > message.hint.term) {
      hint = LogIndex(hint.value() - 1);
    }
    progress.Reject(message.position.index, hint);
    return;
  }
  if (message.position.index > log_.last_index()) return;
  if (progress.Acknowledge(message.position.index)) AdvanceCommit();
  // The commit may have removed the follower or this leader.
  if (IsLeader() && progress_.contains(message.from)) TryTimeoutNow(message.from);
}

void RaftCore::HandleHeartbeat(const RaftMessage& message) {
  if (IsLeader()) return;
  OnLeaderMessage(message.from);
  if (!installing_) SetCommit(std::min(message.commit, log_.last_index()));
  if (message.context == 0) return;
  RaftMessage reply = MakeMessage(RaftMessageType::kHeartbeatReply, message.from);
  reply.context = message.context;
  Send(std::move(reply));
}

void RaftCore::HandleHeartbeatReply(const RaftMessage& message) {
  if (!IsLeader()) return;
  const auto it = progress_.find(message.from);
  if (it == progress_.end()) return;
  Progress& progress = it->second;
  progress.RecordActivity(now_);
  progress.AllowProbe();
  progress.confirmed_round = std::max(progress.confirmed_round, message.context);
  // If messages were lost, the follower rejects this append, which starts a probe.
  if (progress.Stalled()) SendAppend(message.from, progress, 0);
  FinishReadRound();
}

void RaftCore::AdvanceCommit() {
  std::vector<LogIndex> matches;
  for (const GroupMember& member : configuration().members) {
    if (!member.voter && !options_.faults.count_learners) continue;
    if (member.replica == options_.self) {
      matches.push_back(LocalMatch());
      continue;
    }
    const auto it = progress_.find(member.replica);
    matches.push_back(it == progress_.end() ? LogIndex() : it->second.match());
  }
  if (matches.empty()) return;
  const size_t quorum =
      options_.faults.count_learners ? configuration().Quorum() : matches.size() / 2 + 1;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex agreed = matches[std::min(quorum, matches.size()) - 1];
  // Entries of earlier terms are committed only together with one of the current term.
  if (agreed < first_entry_of_term_ && !options_.faults.commit_earlier_terms) return;
  SetCommit(agreed);
  // A leader that removed itself steps down once the removal is committed.
  const bool settled = configuration().index <= commit_;
  if (settled && configuration().Find(options_.self) == nullptr) {
    BecomeFollower(term(), ReplicaId());
    removed_ = true;
  }
}

void RaftCore::SetCommit(LogIndex index) { commit_ = std::max(commit_, index); }

}  // namespace millstair
