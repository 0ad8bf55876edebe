#include "gateway/plain_flow.h"

#include <algorithm>
#include <utility>

#include "gateway/hop_headers.h"

namespace millstair {
namespace {

/// Interval and limit of the wait for a back end that can accept the request.
constexpr Duration kWaitInterval = std::chrono::milliseconds(25);
constexpr Duration kMaxWait = std::chrono::seconds(2);
constexpr int kUnavailable = 503;
constexpr char kVia[] = "1.1 millstair";

HttpRequest ForBackEnd(const HttpRequest& request) {
  HttpRequest forwarded = request;
  forwarded.headers = WithoutHopHeaders(request.headers);
  forwarded.headers.push_back({"Via", kVia});
  return forwarded;
}

HttpResponseHead ForCaller(const HttpResponseHead& head) {
  HttpResponseHead forwarded{head.status, WithoutHopHeaders(head.headers)};
  if (!FindHeader(forwarded.headers, kOutcomeHeader)) {
    forwarded.headers.push_back(
        {std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kRan))});
  }
  forwarded.headers.push_back({"Via", kVia});
  return forwarded;
}

bool ReportsDraining(const HttpResponseHead& head) {
  return FindHeader(head.headers, kDrainingHeader) == std::optional<std::string_view>("true");
}

/// True if the back end reports that it did not start executing.
bool IsRefusal(const HttpResponseHead& head) {
  if (head.status != kUnavailable) return false;
  const auto outcome = FindHeader(head.headers, kOutcomeHeader);
  return ReportsDraining(head) || (outcome && *outcome == OutcomeName(Outcome::kNotRun));
}

}  // namespace

/// One attempt at one back end.
class PlainFlow::BackEndCall : public HttpCallObserver {
 public:
  BackEndCall(PlainFlow& flow, Placement placement)
      : flow_(flow), placement_(std::move(placement)), sent_at_(flow.context_.environment.Now()) {}

  void Start(HttpRequest request) {
    handle_ = flow_.context_.http.Start(placement_.choice.address, std::move(request), *this);
  }

  void OnHead(const HttpResponseHead& head) override {
    if (!dropped_) flow_.OnHead(*this, head);
  }
  void OnBody(std::string bytes) override {
    if (!dropped_) flow_.OnBody(*this, std::move(bytes));
  }
  void OnFinished() override {
    if (!dropped_) flow_.OnFinished(*this);
  }
  void OnFailed(CallFailure failure, const std::string& reason) override {
    if (!dropped_) flow_.OnFailed(*this, failure, false, reason);
  }

  /// Cancels the call and reports its outcome to the router.
  void Drop(PlacementEnd end, CallFailure failure, bool leaving) {
    if (dropped_) return;
    dropped_ = true;
    handle_.reset();
    PlacementOutcome outcome;
    outcome.end = end;
    outcome.failure = failure;
    outcome.leaving = leaving;
    outcome.elapsed = flow_.context_.environment.Now() - sent_at_;
    flow_.context_.router.End(placement_.id, outcome);
  }

  CallHandle* handle() { return handle_.get(); }
  const EngineName& engine() const { return placement_.choice.engine; }
  bool dropped() const { return dropped_; }
  bool answering = false;

 private:
  PlainFlow& flow_;
  Placement placement_;
  TimePoint sent_at_;
  std::unique_ptr<CallHandle> handle_;
  bool dropped_ = false;
};

PlainFlow::PlainFlow(GatewayContext& context, FlowRequest request, std::function<void()> ended)
    : RequestFlow(context, std::move(request), std::move(ended)),
      retry_timer_(context.environment),
      hedge_timer_(context.environment) {}

PlainFlow::~PlainFlow() = default;

void PlainFlow::Dispatch() {
  context_.retry_budget.RecordFirstAttempt();
  AttemptOrWait();
}

void PlainFlow::AttemptOrWait() {
  if (!CheckLease()) return;
  if (SendAttempt(true)) {
    waiting_ = false;
    ArmHedge();
    return;
  }
  const TimePoint now = context_.environment.Now();
  if (!waiting_) waiting_since_ = now;
  waiting_ = true;
  tried_back_ends_.clear();
  if (now - waiting_since_ >= kMaxWait) {
    FailExhausted("no back end of the traffic group can take the request");
    return;
  }
  retry_timer_.Arm(kWaitInterval, [this] { AttemptOrWait(); });
}

bool PlainFlow::SendAttempt(bool again) {
  RoutingRequest routing;
  routing.priority = request_.meta.priority;
  routing.excluded = tried_back_ends_;
  std::optional<Placement> placement = context_.router.Place(request_.group->key(), routing);
  if (!placement && again && !tried_back_ends_.empty()) {
    routing.excluded.clear();
    placement = context_.router.Place(request_.group->key(), routing);
  }
  if (!placement) return false;
  ++attempt_count_;
  tried_back_ends_.insert(placement->choice.engine);
  calls_.push_back(std::make_unique<BackEndCall>(*this, *std::move(placement)));
  calls_.back()->Start(ForBackEnd(request_.http));
  return true;
}

void PlainFlow::ArmHedge() {
  const Duration after = request_.group->spec.hedge_after;
  if (after <= Duration(0) || !request_.meta.repeatable) return;
  hedge_timer_.Arm(after, [this] {
    if (ended() || head_sent_ || calls_.size() != 1) return;
    if (!LeaseHeld() || !context_.retry_budget.Spend()) return;
    if (SendAttempt(false)) ++context_.counters.hedges;
  });
}

void PlainFlow::OnHead(BackEndCall& call, const HttpResponseHead& head) {
  if (head_sent_) return;
  if (IsRefusal(head)) {
    OnFailed(call, CallFailure::kRefused, ReportsDraining(head),
             "the back end refused the request");
    return;
  }
  call.answering = true;
  DropOthers(call);
  hedge_timer_.Cancel();
  head_sent_ = true;
  status_ = head.status;
  request_.writer->SendHead(ForCaller(head));
}

void PlainFlow::OnBody(BackEndCall& call, std::string bytes) {
  request_.writer->SendBody(std::move(bytes));
  if (ended() || request_.writer->WritableBytes() > 0 || call.handle() == nullptr) return;
  call.handle()->PauseReading();
  request_.writer->OnWritable(alive_.Guard([this] {
    for (const auto& paused : calls_) {
      if (paused->handle() != nullptr) paused->handle()->ResumeReading();
    }
  }));
}

void PlainFlow::OnFinished(BackEndCall& call) {
  call.Drop(PlacementEnd::kFinished, CallFailure::kNotSent, false);
  request_.writer->Finish();
  Finish(status_);
}

void PlainFlow::OnFailed(BackEndCall& call, CallFailure failure, bool leaving,
                         const std::string& reason) {
  const bool answering = call.answering;
  call.Drop(PlacementEnd::kFailed, failure, leaving);
  RecordAttemptFailure(failure);
  const auto ended = std::find_if(calls_.begin(), calls_.end(),
                                  [&call](const auto& entry) { return entry.get() == &call; });
  ended_calls_.push_back(std::move(*ended));
  calls_.erase(ended);
  if (answering && head_sent_) {
    if (context_.faults.finish_truncated) {
      request_.writer->Finish();
      Finish(status_);
      return;
    }
    Fail({502, "cut", reason, Outcome::kRan, std::nullopt});
    return;
  }
  // The other attempt of a hedged request continues.
  if (calls_.empty()) RetryOrFail(failure, reason);
}

void PlainFlow::RetryOrFail(CallFailure failure, const std::string& reason) {
  FailedAttempt failed;
  failed.failure = failure;
  // A hedge or an earlier attempt may have run, whatever the outcome of this one.
  if (may_have_run() && OutcomeOf(failure) == Outcome::kNotRun && !request_.meta.repeatable) {
    failed.failure = CallFailure::kUnknown;
  }
  failed.repeatable = request_.meta.repeatable;
  failed.answer_started = head_sent_;
  failed.attempts = attempt_count_;
  failed.time_left = TimeLeft();
  const RetryDecision decision = context_.retry.Decide(failed);
  if (!decision.retry) {
    FailExhausted("the back end failed: " + reason);
    return;
  }
  ++context_.counters.retries;
  retry_timer_.Arm(decision.backoff, [this] { AttemptOrWait(); });
}

void PlainFlow::DropOthers(const BackEndCall& winner) {
  for (const auto& call : calls_) {
    if (call.get() != &winner) call->Drop(PlacementEnd::kCancelled, CallFailure::kUnknown, false);
  }
}

void PlainFlow::DropCalls() {
  retry_timer_.Cancel();
  hedge_timer_.Cancel();
  for (const auto& call : calls_) {
    call->Drop(PlacementEnd::kCancelled, CallFailure::kUnknown, false);
  }
}

Outcome PlainFlow::OutcomeUnderWay() const {
  Outcome outcome = Outcome::kNotRun;
  for (const auto& call : calls_) {
    if (call->answering) return Outcome::kRan;
    outcome = Outcome::kUnknown;
  }
  return outcome;
}

}  // namespace millstair
