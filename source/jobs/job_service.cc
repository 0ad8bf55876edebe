#include "jobs/job_service.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Maximum time that a query is held, below the time after which its sender tries another node.
constexpr Duration kMaxHold = std::chrono::milliseconds(500);

JobQueryAnswer ResultsOf(const JobRecord& record, const JobQuery& query) {
  JobQueryAnswer answer;
  answer.found = true;
  answer.total = record.spec.items.size();
  uint64_t bytes = 0;
  for (size_t i = query.after; i < record.results.size(); ++i) {
    const JobResult& result = record.results[i];
    bytes += result.text.size();
    if (!answer.results.empty() && bytes > query.max_bytes) break;
    answer.results.push_back({record.spec.items[result.item].id, result});
  }
  return answer;
}

}  // namespace

JobService::JobService(Environment& environment, PeerTransport& transport,
                       std::function<NodeId()> placed_leader)
    : environment_(environment),
      transport_(transport),
      placed_leader_(std::move(placed_leader)),
      change_timer_(environment) {}

void JobService::Attach(RaftGroup* group, const JobStateMachine* state) {
  group_ = group;
  state_ = state;
}

void JobService::Receive(const NodeId& from, const PeerMessage& message) {
  const auto command = DecodeGroupCommand(message.payload);
  if (!command.ok()) return;
  const uint64_t id = command->id;
  const bool proposes = command->mode == CommandMode::kPropose;
  if (proposes && (group_ == nullptr || !group_->IsLeader())) {
    return Reply(from, id, absl::UnavailableError("not the leader"));
  }
  if (group_ == nullptr) return Reply(from, id, absl::FailedPreconditionError("no replica here"));
  if (!group_->IsLeader() && !group_->Leader()) {
    // The caller can query another replica sooner than this one would find a leader.
    return Reply(from, id, absl::UnavailableError("no leader is known here"));
  }
  // The reply to the command in progress also answers its resend.
  const CommandKey key{from, id};
  if (!running_.insert(key).second) return;
  auto done = alive_.Guard([this, key](const absl::StatusOr<std::string>& result) {
    running_.erase(key);
    Reply(key.from, key.id, result);
  });
  if (command->mode == CommandMode::kPropose) return Propose(command->command, std::move(done));
  Query(command->command, std::move(done));
}

void JobService::Propose(const std::string& bytes, Callback done) {
  auto command = DecodeJobCommand(bytes);
  if (!command.ok()) return done(command.status());
  command->proposed_at = environment_.WallNow();
  group_->Propose(EncodeJobCommand(*command), std::move(done));
}

void JobService::Query(const std::string& bytes, Callback done) {
  const auto query = DecodeJobQuery(bytes);
  if (!query.ok()) return done(query.status());
  group_->ConfirmRead(alive_.Guard(
      [this, query = *query, done = std::move(done)](const absl::StatusOr<LogIndex>& index) {
        if (!index.ok()) return done(absl::UnavailableError(index.status().message()));
        AnswerOrHold(query, done);
      }));
}

JobQueryAnswer JobService::AnswerOf(const JobQuery& query) const {
  const JobRecord* record = state_ == nullptr ? nullptr : state_->Find(query.job);
  if (record == nullptr || !MayAccessJob(*record, query.tenant)) return {};
  if (query.kind == JobQueryKind::kResults) return ResultsOf(*record, query);
  const auto& items = record->spec.items;
  JobQueryAnswer answer;
  for (uint32_t index = 0; index < items.size(); ++index) {
    if (items[index].id != query.item) continue;
    answer.found = !record->ended && !state_->IsRecorded(query.job, index);
    if (answer.found) answer.body = items[index].body;
  }
  return answer;
}

void JobService::AnswerOrHold(const JobQuery& query, Callback done) {
  const JobQueryAnswer answer = AnswerOf(query);
  const bool all_recorded = query.after + answer.results.size() >= answer.total;
  const bool wait = query.kind == JobQueryKind::kResults && query.wait > Duration(0) &&
                    answer.found && answer.results.empty() && !all_recorded;
  if (!wait) return done(EncodeJobQueryAnswer(answer));
  HeldQuery& held = held_.emplace_back(environment_);
  held.query = query;
  held.done = std::move(done);
  const auto position = std::prev(held_.end());
  held.limit.Arm(std::min(query.wait, kMaxHold), [this, position] {
    const Callback answer_now = std::move(position->done);
    const JobQuery held_query = position->query;
    held_.erase(position);
    answer_now(EncodeJobQueryAnswer(AnswerOf(held_query)));
  });
}

void JobService::OnStateChange(const JobId& job) {
  if (held_.empty()) return;
  changed_.insert(job);
  if (!change_timer_.armed()) change_timer_.Arm(Duration(0), [this] { AnswerChanged(); });
}

void JobService::AnswerChanged() {
  const std::set<JobId> changed = std::exchange(changed_, {});
  for (auto it = held_.begin(); it != held_.end();) {
    const auto held = it++;
    if (!changed.contains(held->query.job)) continue;
    const JobQueryAnswer answer = AnswerOf(held->query);
    if (answer.found && answer.results.empty()) continue;
    const Callback done = std::move(held->done);
    held_.erase(held);
    done(EncodeJobQueryAnswer(answer));
  }
}

NodeId JobService::KnownLeader() const {
  if (group_ == nullptr) return placed_leader_();
  return group_->Leader().value_or(NodeId());
}

void JobService::Reply(const NodeId& to, uint64_t id, const absl::StatusOr<std::string>& result) {
  GroupCommandReply reply;
  reply.id = id;
  if (result.ok()) {
    reply.result = *result;
  } else {
    // Whether a proposal was applied is unknown then; commands are idempotent.
    const bool try_again =
        absl::IsUnavailable(result.status()) || absl::IsDeadlineExceeded(result.status());
    reply.status = try_again ? absl::StatusCode::kUnavailable : result.status().code();
    reply.message = std::string(result.status().message());
    reply.leader = KnownLeader();
  }
  transport_.Send(to, {MessageKind::kCommandReply, EncodeGroupCommandReply(reply)});
}

}  // namespace millstair
