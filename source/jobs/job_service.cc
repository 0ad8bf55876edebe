#include "jobs/job_service.h"

#include <algorithm>
#include <utility>

#include "cluster/command_rejection.h"
#include "common/event_log.h"
#include "common/random.h"
#include "fmt/format.h"

namespace millstair {
namespace {

/// Maximum time that a query is held, below the time after which its sender tries another node.
constexpr Duration kMaxHold = std::chrono::milliseconds(500);
/// Retry-After is extended at random by up to a quarter.
constexpr int kRetryJitterDivisor = 4;
/// Items that were recorded and jobs that ended free memory.
constexpr Duration kMemoryRetryAfter = std::chrono::seconds(1);
/// An end that is sent to a follower again is relayed at most this often.
constexpr Duration kRelayPause = std::chrono::milliseconds(250);

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
                       std::function<NodeId()> placed_leader, StatsRegistry* stats,
                       JobServiceLimits limits)
    : environment_(environment),
      transport_(transport),
      placed_leader_(std::move(placed_leader)),
      stats_(stats),
      limits_(limits),
      change_timer_(environment) {}

void JobService::Attach(RaftGroup* group, const JobStateMachine* state) {
  group_ = group;
  state_ = state;
}

void JobService::Receive(const NodeId& from, const PeerMessage& message) {
  const auto command = DecodeGroupCommand(message.payload);
  if (!command.ok()) return;
  const uint64_t id = command->id;
  const CommandKey key{from, id};
  const bool proposes = command->mode == CommandMode::kPropose;
  if (const auto rejected = rejected_.find(key); proposes && rejected != rejected_.end()) {
    return Reply(from, id, rejected->second.status);
  }
  if (proposes && (group_ == nullptr || !group_->IsLeader())) {
    return ReceiveAsFollower(from, *command);
  }
  if (group_ == nullptr) return Reply(from, id, absl::FailedPreconditionError("no replica here"));
  if (!group_->IsLeader() && !group_->Leader()) {
    // The caller can query another replica sooner than this one would find a leader.
    return Reply(from, id, absl::UnavailableError("no leader is known here"));
  }
  // The reply to the command in progress also answers its resend.
  if (++running_[key] > 1) return;
  auto done = alive_.Guard([this, key](const absl::StatusOr<std::string>& result) {
    const auto running = running_.find(key);
    if (running == running_.end()) return;
    const size_t copies = running->second;
    running_.erase(running);
    Reply(key.from, key.id, result);
    // The sender counts the copies that were not run.
    if (!IsNotRun(result.status())) return;
    for (size_t i = 1; i < copies; ++i) Reply(key.from, key.id, result);
  });
  if (proposes) return Propose(key, *command, std::move(done));
  Query(command->command, std::move(done));
}

void JobService::Propose(const CommandKey& key, const GroupCommand& group_command, Callback done) {
  auto command = DecodeJobCommand(group_command.command);
  if (!command.ok()) return done(command.status());
  if (const auto* end = std::get_if<EndJob>(&command->operation)) {
    LogEndReceived(key.from, *end);
    return ProposeEnd(*end, std::move(done));
  }
  const auto* submit = std::get_if<SubmitJob>(&command->operation);
  if (submit == nullptr) return ProposeCommand(*std::move(command), std::move(done));
  const bool lacks_memory = LacksMemoryFor(submit->job);
  if (group_command.may_be_rejected && RejectionOf(submit->job, lacks_memory)) {
    return ConfirmRejection(key, *std::move(command), std::move(done));
  }
  // It can't be rejected with the promise that no copy of it runs, and not be held either.
  if (lacks_memory) return done(absl::UnavailableError("no memory for the job"));
  ProposeJob(*std::move(command), std::move(done));
}

void JobService::LogEndReceived(const NodeId& from, const EndJob& end) const {
  const JobRecord* record = state_->Find(end.job);
  std::string_view known = "open";
  if (record == nullptr) {
    known = proposed_.contains(end.job) ? "proposed" : "unknown";
  } else if (record->ended) {
    known = "ended";
  }
  LogEvent(EventId::kJobEndReceived, "job={} from={} term={} known={} uncommitted_ms={}", end.job,
           from, group_->CurrentTerm(), known, ToMilliseconds(group_->UncommittedFor()));
}

bool JobService::HasEnded(const EndJob& end) const {
  const JobRecord* record = state_->Find(end.job);
  return record != nullptr && record->ended && MayAccessJob(*record, end.tenant);
}

void JobService::ReceiveAsFollower(const NodeId& from, const GroupCommand& group_command) {
  const auto command = DecodeJobCommand(group_command.command);
  const auto* end = command.ok() ? std::get_if<EndJob>(&command->operation) : nullptr;
  if (end == nullptr || group_ == nullptr) {
    return Reply(from, group_command.id, NotRunError("not the leader"));
  }
  // What is applied here is committed.
  if (HasEnded(*end)) return Reply(from, group_command.id, EncodeJobResultCode(JobResultCode::kOk));
  RememberEnd(*end);
  RelayEnd(from, *end, group_command);
  Reply(from, group_command.id, NotRunError("not the leader"));
}

void JobService::RememberEnd(const EndJob& end) {
  const JobRecord* record = state_->Find(end.job);
  const bool of_other_tenant = record != nullptr && !MayAccessJob(*record, end.tenant);
  if (of_other_tenant || !MayKeep(end) || received_ends_.contains(end)) return;
  if (received_ends_.size() >= limits_.max_received_ends) {
    LogEvent(EventId::kJobEndDropped, "job={} reason=\"too many\"", end.job);
    return;
  }
  received_ends_[end] = TimePoint();
}

void JobService::ForgetAppliedEnds() {
  std::erase_if(received_ends_, [this](const auto& received) {
    const EndJob& end = received.first;
    const JobRecord* record = state_->Find(end.job);
    return record != nullptr && (record->ended || !MayAccessJob(*record, end.tenant));
  });
}

void JobService::RelayEnd(const NodeId& from, const EndJob& end, const GroupCommand& command) {
  const std::optional<NodeId> leader = group_->Leader();
  const auto received = received_ends_.find(end);
  // Replicas that take each other for the leader must not relay in a circle.
  const bool is_relayed = !command.origin.value().empty();
  if (!leader || is_relayed || received == received_ends_.end()) return;
  const TimePoint now = environment_.Now();
  if (now < received->second) return;
  received->second = now + kRelayPause;
  GroupCommand relayed = command;
  relayed.id = environment_.Random()();
  relayed.origin = from;
  transport_.Send(*leader, {MessageKind::kCommand, EncodeGroupCommand(relayed)});
}

void JobService::ProposeReceivedEnds() {
  for (const auto& [end, relay_due] : std::map<EndJob, TimePoint>(received_ends_)) {
    ProposeEnd(end, [](const absl::StatusOr<std::string>&) {
      // It stays among the received ends until it is applied, and its sender repeats it.
    });
  }
}

void JobService::ProposeEnd(const EndJob& end, Callback done) {
  RememberEnd(end);
  const JobRecord* record = state_->Find(end.job);
  const bool open = record != nullptr && !record->ended && MayAccessJob(*record, end.tenant);
  if (open && end_listener_) end_listener_(end.job);
  ProposeCommand(
      {end, {}},
      alive_.Guard([this, end, done = std::move(done)](const absl::StatusOr<std::string>& result) {
        const auto code = result.ok() ? DecodeJobResultCode(*result) : result.status();
        if (code.ok()) received_ends_.erase(end);
        if (!code.ok() || *code != JobResultCode::kNotFound || group_ == nullptr)
          return done(result);
        // A submission that was applied right behind the end is ended by a second one.
        const JobRecord* submitted = state_->Find(end.job);
        if (submitted != nullptr && !MayAccessJob(*submitted, end.tenant)) return done(result);
        if (submitted != nullptr) return ProposeCommand({end, {}}, done);
        KeepEndOfUnknownJob(end, done);
      }));
}

void JobService::KeepEndOfUnknownJob(const EndJob& end, const Callback& done) {
  if (placeholders_in_flight_.contains(end.job)) return ProposeCommand({end, {}}, done);
  if (!HasRoomForPlaceholder(end)) {
    return done(absl::ResourceExhaustedError("too many ends of unknown jobs"));
  }
  // Commands that earlier builds apply alike. A submission that was committed in between is ended
  // by the second one, whose outcome tells whether the first was committed.
  JobSpec placeholder;
  placeholder.id = end.job;
  placeholder.tenant = end.tenant;
  placeholders_in_flight_.insert(end.job);
  ProposeCommand({SubmitJob{std::move(placeholder)}, {}},
                 alive_.Guard([this, job = end.job](const absl::StatusOr<std::string>&) {
                   placeholders_in_flight_.erase(job);
                 }));
  ProposeCommand({end, {}}, done);
}

bool JobService::HasRoomForPlaceholder(const EndJob& end) const {
  const auto& jobs = state_->jobs();
  const auto count = std::count_if(jobs.begin(), jobs.end(),
                                   [](const auto& job) { return IsPlaceholder(job.second); });
  return MayKeep(end) &&
         static_cast<size_t>(count) + placeholders_in_flight_.size() < limits_.max_placeholders;
}

void JobService::ProposeCommand(JobCommand command, Callback done) {
  command.proposed_at = environment_.WallNow();
  group_->Propose(EncodeJobCommand(command), std::move(done));
}

void JobService::ProposeJob(JobCommand command, Callback done) {
  const Term term = group_->CurrentTerm();
  // What was proposed under an earlier term is applied or lost once this term's leadership is
  // confirmed.
  std::erase_if(proposed_, [term](const auto& entry) { return entry.second.term != term; });
  const JobSpec& spec = std::get<SubmitJob>(command.operation).job;
  const JobId job = spec.id;
  if (proposed_.size() < limits_.max_proposals) {
    proposed_[job] = {term, MemoryOf(spec)};
  } else if (!proposed_.contains(job)) {
    proposals_exceeded_in_ = term;
  }
  ProposeCommand(
      std::move(command),
      alive_.Guard([this, job, done = std::move(done)](const absl::StatusOr<std::string>& result) {
        if (result.ok()) proposed_.erase(job);
        done(result);
      }));
}

std::optional<JobRejection> JobService::RejectionOf(const JobSpec& job, bool lacks_memory) {
  if (state_->Find(job.id) != nullptr) return std::nullopt;
  const auto proposed = proposed_.find(job.id);
  if (proposed != proposed_.end() && proposed->second.term == group_->CurrentTerm()) {
    return std::nullopt;
  }
  if (proposals_exceeded_in_ == group_->CurrentTerm()) return std::nullopt;
  ForgetOldRejections();
  if (rejected_.size() >= limits_.max_rejections) return std::nullopt;
  if (lacks_memory) return JobRejection{JobRejectionReason::kMemory, kMemoryRetryAfter};
  return admission_ ? admission_(job) : std::nullopt;
}

bool JobService::LacksMemoryFor(const JobSpec& job) const {
  if (limits_.max_item_bytes == 0 || state_->Find(job.id) != nullptr) return false;
  size_t held = state_->item_bytes();
  for (const auto& [id, proposal] : proposed_) {
    if (id != job.id && state_->Find(id) == nullptr) held += proposal.item_bytes;
  }
  return held > 0 && held + MemoryOf(job) > limits_.max_item_bytes;
}

void JobService::ConfirmRejection(const CommandKey& key, JobCommand command, Callback done) {
  group_->ConfirmRead(alive_.Guard([this, key, term = group_->CurrentTerm(), group = group_,
                                    command = std::move(command), done = std::move(done)](
                                       const absl::StatusOr<LogIndex>& index) mutable {
    if (!index.ok()) return done(NotRunError(std::string(index.status().message())));
    // Another leader may have accepted the job since this one was deposed.
    const bool still_leads = group_ == group && group->IsLeader() && group->CurrentTerm() == term;
    if (!still_leads) return done(NotRunError("not the leader"));
    const JobSpec& job = std::get<SubmitJob>(command.operation).job;
    const auto rejection = RejectionOf(job, LacksMemoryFor(job));
    if (!rejection) return ProposeJob(std::move(command), std::move(done));
    done(Reject(key, job, *rejection));
  }));
}

absl::Status JobService::Reject(const CommandKey& key, const JobSpec& job,
                                const JobRejection& rejection) {
  // Jitter, so that clients that were rejected together do not return together.
  const Duration retry_after =
      DrawDuration(environment_.Random(), rejection.retry_after,
                   rejection.retry_after + rejection.retry_after / kRetryJitterDivisor);
  const std::string_view reason = JobRejectionReasonName(rejection.reason);
  LogEvent(EventId::kJobRejected, "job={} step={} model={} reason={} retry_after_ms={}", job.id,
           job.step.value_or(0), job.model, reason, ToMilliseconds(retry_after));
  if (stats_ != nullptr) {
    stats_
        ->NewCounter({"millstair_jobs_rejected_total",
                      "Batch jobs rejected at submission, by reason.", "reason",
                      std::string(reason)})
        .Add();
  }
  const absl::Status status =
      CommandRejectedError(fmt::format("the job can't be served: {}", reason), retry_after);
  rejected_[key] = {environment_.Now() + limits_.rejection_retention, status};
  return status;
}

void JobService::ForgetOldRejections() {
  const TimePoint now = environment_.Now();
  std::erase_if(rejected_, [now](const auto& entry) { return now >= entry.second.until; });
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
  if (IsPlaceholder(*record)) return {};
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
  ForgetAppliedEnds();
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
    reply.not_run = IsNotRun(result.status());
    reply.retry_after = RejectionRetryAfter(result.status()).value_or(Duration(0));
    reply.leader = KnownLeader();
  }
  transport_.Send(to, {MessageKind::kCommandReply, EncodeGroupCommandReply(reply)});
}

}  // namespace millstair
