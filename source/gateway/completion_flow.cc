#include "gateway/completion_flow.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "engine/prefix_blocks.h"

namespace millstair {
namespace {

/// Interval and limit of the wait for an engine that can accept the request.
constexpr Duration kWaitInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxWait = std::chrono::seconds(3);
/// Other engines that are considered before a request is refused for its deadline.
constexpr int kMaxAlternatives = 3;
/// Interval at which an interrupted generation checks for a valid lease.
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(100);

}  // namespace

/// One generation on one engine.
class CompletionFlow::Attempt : public GenerateObserver {
 public:
  Attempt(CompletionFlow& flow, Placement placement)
      : flow_(flow), placement_(std::move(placement)), sent_at_(flow.context_.environment.Now()) {}

  void Start(GenerateRequest request) {
    handle_ = flow_.context_.engines.Generate(placement_.choice.address, std::move(request), *this);
  }

  void OnChunk(const GenerateChunk& chunk) override {
    if (!dropped_) flow_.OnChunk(chunk);
  }
  void OnFailed(CallFailure failure, bool leaving, const std::string& reason) override {
    if (!dropped_) flow_.OnFailed(failure, leaving, reason);
  }

  void RecordTokens(uint32_t count) {
    if (count > 0 && tokens_ == 0) {
      flow_.context_.router.OnFirstTokens(placement_.id,
                                          flow_.context_.environment.Now() - sent_at_, count);
    }
    tokens_ += count;
  }

  void Drop(PlacementOutcome outcome) {
    if (dropped_) return;
    dropped_ = true;
    handle_.reset();
    outcome.tokens = tokens_;
    outcome.elapsed = flow_.context_.environment.Now() - sent_at_;
    flow_.context_.router.End(placement_.id, outcome);
  }

  CallHandle* handle() { return handle_.get(); }
  const EngineName& engine() const { return placement_.choice.engine; }
  uint32_t tokens() const { return tokens_; }

 private:
  CompletionFlow& flow_;
  Placement placement_;
  TimePoint sent_at_;
  uint32_t tokens_ = 0;
  std::unique_ptr<CallHandle> handle_;
  bool dropped_ = false;
};

CompletionFlow::CompletionFlow(GatewayContext& context, FlowRequest request,
                               CompletionRequest completion, std::function<void()> ended)
    : RequestFlow(context, std::move(request), std::move(ended)),
      completion_(std::move(completion)),
      id_(context.NewRequestId()),
      retry_timer_(context.environment) {
  routing_.model = completion_.model;
  routing_.prefix_blocks = PrefixBlocks(completion_.prompt);
  routing_.prompt_tokens = CountTokens(completion_.prompt);
  routing_.priority = request_.meta.priority;
}

CompletionFlow::~CompletionFlow() = default;

void CompletionFlow::Dispatch() {
  context_.retry_budget.RecordFirstAttempt();
  PlaceOrWait();
}

void CompletionFlow::PlaceOrWait() {
  if (!LeaseHeld() && !assembly_.tokens().empty()) {
    // An interrupted generation waits for a lease until its deadline instead of failing.
    retry_timer_.Arm(kLeaseCheckInterval, [this] { PlaceOrWait(); });
    return;
  }
  if (!CheckLease()) return;
  const uint32_t done = static_cast<uint32_t>(assembly_.tokens().size());
  const uint32_t left = completion_.max_tokens > done ? completion_.max_tokens - done : 1;
  routing_.expected_tokens = context_.router.ExpectedTokens(left);
  std::optional<Placement> placement = context_.router.Place(request_.group->key(), routing_);
  if (!placement && !routing_.excluded.empty()) {
    routing_.excluded.clear();
    placement = context_.router.Place(request_.group->key(), routing_);
  }
  if (placement) {
    waiting_ = false;
    placement = FindFasterEngine(*std::move(placement));
    if (!RefuseIfTooLate(*placement)) StartAttempt(*std::move(placement));
    return;
  }
  const TimePoint now = context_.environment.Now();
  if (!waiting_) {
    waiting_since_ = now;
    context_.router.OnLiveQueued(request_.group->key());
  }
  waiting_ = true;
  if (now - waiting_since_ >= kMaxWait) {
    FailExhausted("no engine of the traffic group can take the request");
    return;
  }
  retry_timer_.Arm(kWaitInterval, [this] { PlaceOrWait(); });
}

Placement CompletionFlow::FindFasterEngine(Placement placement) {
  if (may_have_run()) return placement;
  const std::set<EngineName> excluded = routing_.excluded;
  for (int i = 0; i < kMaxAlternatives && placement.choice.estimate > TimeLeft(); ++i) {
    routing_.excluded.insert(placement.choice.engine);
    std::optional<Placement> other = context_.router.Place(request_.group->key(), routing_);
    if (!other) break;
    const bool better = other->choice.estimate < placement.choice.estimate;
    if (better) std::swap(placement, *other);
    context_.router.End(other->id, {.end = PlacementEnd::kCancelled});
    if (!better) routing_.excluded.insert(other->choice.engine);
  }
  routing_.excluded = excluded;
  return placement;
}

bool CompletionFlow::RefuseIfTooLate(const Placement& placement) {
  if (may_have_run() || placement.choice.estimate <= TimeLeft()) return false;
  const Duration excess = placement.choice.estimate - TimeLeft();
  context_.router.End(placement.id, {.end = PlacementEnd::kCancelled});
  ++context_.counters.refused_too_late;
  RefuseNotRun("deadline", "the engines are too busy to finish the request before its deadline",
               excess);
  return true;
}

void CompletionFlow::StartAttempt(Placement placement) {
  ++attempt_count_;
  assembly_.BeginAttempt();
  GenerateRequest request;
  request.request_id = fmt::format("{}-{}", id_, attempt_count_);
  request.model = completion_.model;
  request.prompt = completion_.prompt;
  request.max_tokens = completion_.max_tokens;
  request.priority = request_.meta.priority;
  request.resume_tokens = assembly_.tokens();
  attempt_ = std::make_unique<Attempt>(*this, std::move(placement));
  attempt_->Start(std::move(request));
}

void CompletionFlow::OnChunk(const GenerateChunk& chunk) {
  const Configuration& configuration = context_.configuration.configuration();
  const auto model = configuration.models.find(completion_.model);
  const size_t first_token = assembly_.tokens().size();
  const absl::Status accepted =
      assembly_.Accept(chunk, model == configuration.models.end() ? nullptr : &model->second);
  if (!accepted.ok()) {
    LogEvent(EventId::kChunkRefused, "request={} engine={} reason=\"{}\"", id_,
             attempt_->engine().value(), std::string(accepted.message()));
    RecordAttemptFailure(CallFailure::kCut);
    EndAttempt({.end = PlacementEnd::kMixed, .failure = CallFailure::kCut});
    RetryOrFail(CallFailure::kCut, std::string(accepted.message()));
    return;
  }
  attempt_->RecordTokens(static_cast<uint32_t>(chunk.tokens.size()));
  context_.counters.tokens += chunk.tokens.size();
  if (completion_.stream) SendPart(first_token, chunk);
  if (ended() || !chunk.finished) return;
  EndAttempt({.end = PlacementEnd::kFinished});
  if (completion_.stream) {
    request_.writer->SendBody(kStreamEnd);
    request_.writer->Finish();
  } else {
    SendComplete();
  }
  Finish(200);
}

void CompletionFlow::SendPart(size_t first_token, const GenerateChunk& chunk) {
  if (chunk.tokens.empty() && !chunk.finished) return;
  if (!head_sent_) {
    head_sent_ = true;
    request_.writer->SendHead(
        {200,
         {{"Content-Type", "text/event-stream"},
          {"Cache-Control", "no-cache"},
          {std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kRan))}}});
  }
  CompletionPart part;
  part.text = assembly_.TextFrom(first_token);
  part.finished = chunk.finished;
  if (!chunk.tokens.empty()) {
    part.spans.push_back({chunk.version, chunk.digest, chunk.engine_incarnation, chunk.first_token,
                          static_cast<uint32_t>(chunk.tokens.size())});
  }
  request_.writer->SendBody(CompletionEvent(completion_, id_, part));
  ApplyBackpressure();
}

void CompletionFlow::ApplyBackpressure() {
  if (ended() || attempt_ == nullptr || attempt_->handle() == nullptr) return;
  if (request_.writer->WritableBytes() > 0) return;
  attempt_->handle()->PauseReading();
  request_.writer->OnWritable(alive_.Guard([this] {
    if (attempt_ != nullptr && attempt_->handle() != nullptr) attempt_->handle()->ResumeReading();
  }));
}

void CompletionFlow::SendComplete() {
  const CompletionPart complete{assembly_.TextFrom(0), assembly_.spans(), true};
  const auto tokens = static_cast<uint32_t>(assembly_.tokens().size());
  head_sent_ = true;
  Respond(*request_.writer,
          {200,
           {{"Content-Type", "application/json"},
            {std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kRan))}}},
          CompletionAnswer(completion_, id_, complete, tokens));
}

void CompletionFlow::OnFailed(CallFailure failure, bool leaving, const std::string& reason) {
  if (attempt_->tokens() > 0) failure = CallFailure::kCut;
  RecordAttemptFailure(failure);
  routing_.excluded.insert(attempt_->engine());
  EndAttempt({.end = PlacementEnd::kFailed, .failure = failure, .leaving = leaving});
  if (context_.faults.finish_truncated && !assembly_.tokens().empty()) {
    if (completion_.stream) {
      request_.writer->SendBody(kStreamEnd);
      request_.writer->Finish();
    } else {
      SendComplete();
    }
    Finish(200);
    return;
  }
  RetryOrFail(failure, reason);
}

void CompletionFlow::EndAttempt(const PlacementOutcome& outcome) {
  attempt_->Drop(outcome);
  ended_attempts_.push_back(std::move(attempt_));
}

void CompletionFlow::RetryOrFail(CallFailure failure, const std::string& reason) {
  FailedAttempt failed;
  failed.failure = failure;
  failed.repeatable = request_.meta.repeatable;
  failed.attempts = attempt_count_;
  failed.time_left = TimeLeft();
  const RetryDecision decision = context_.retry.Decide(failed);
  if (!decision.retry) {
    FailExhausted("the engine failed: " + reason);
    return;
  }
  ++context_.counters.retries;
  if (!assembly_.tokens().empty()) ++context_.counters.resumes;
  retry_timer_.Arm(decision.backoff, [this] { PlaceOrWait(); });
}

void CompletionFlow::DropCalls() {
  retry_timer_.Cancel();
  if (attempt_ == nullptr) return;
  EndAttempt({.end = PlacementEnd::kCancelled});
}

Outcome CompletionFlow::OutcomeUnderWay() const {
  if (!assembly_.tokens().empty()) return Outcome::kRan;
  return attempt_ == nullptr ? Outcome::kNotRun : Outcome::kUnknown;
}

}  // namespace millstair
