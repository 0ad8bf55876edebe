#include "ingress/forward_flow.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/random.h"
#include "ingress/backend_attempt.h"

namespace millstair {
namespace {

constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
constexpr Duration kDefaultStreamTimeout = std::chrono::minutes(10);
/// A request that no back end accepts is given up after this share of its time limit, so that the
/// client has time to retry elsewhere.
constexpr double kGiveUpShare = 0.5;
constexpr Duration kRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(50);
constexpr int kServerError = 500;

}  // namespace

std::string_view ForwardOutcomeName(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::kAnswered:
      return "answered";
    case ForwardOutcome::kNoRoute:
      return "no-route";
    case ForwardOutcome::kNotConfigured:
      return "not-configured";
    case ForwardOutcome::kNotRun:
      return "not-run";
    case ForwardOutcome::kFailed:
      return "failed";
    case ForwardOutcome::kAbandoned:
      return "abandoned";
    case ForwardOutcome::kTimedOut:
      break;
  }
  return "timed-out";
}

/// One attempt at one back end.
class ForwardFlow::Attempt : public HttpCallObserver {
 public:
  Attempt(ForwardFlow& flow, BackendInstance target)
      : flow_(flow),
        target_(std::move(target)),
        record_(flow.context_.environment, flow.context_.directory, target_.id, flow.route_.target),
        buffer_(flow.context_.memory, flow.context_.environment, flow.started_at_) {}

  void Start(HttpRequest request) {
    handle_ = flow_.context_.http.Start(target_.address, std::move(request), *this);
  }

  void OnHead(const HttpResponseHead& head) override {
    if (ended_) return;
    head_ = head;
    answer_ = flow_.context_.protocol.ReadAnswer(head, flow_.request_.request_id);
    if (!answer_.own)
      return flow_.OnFailed(*this, false, "the response belongs to another request");
    record_.OnResponse();
    if (answer_.not_run) return flow_.OnRefused(*this, answer_.wrong_instance);
    buffer_.Begin(head, handle_.get(), kMaxAnswerBytes);
  }

  void OnBody(std::string bytes) override {
    if (ended_) return;
    record_.OnResponse();
    buffer_.Append(bytes);
    if (buffer_.size() > kMaxAnswerBytes) {
      flow_.OnFailed(*this, false, "the response exceeds 32 MiB");
    }
  }

  void OnFinished() override {
    if (!ended_) flow_.OnAnswer(*this, head_, buffer_.Take());
  }

  void OnFailed(CallFailure failure, const std::string& reason) override {
    if (!ended_) flow_.OnFailed(*this, failure == CallFailure::kNotSent, reason);
  }

  /// Cancels the call and records how it ended.
  void End(BackendEnd end) {
    if (ended_) return;
    ended_ = true;
    buffer_.End();
    handle_.reset();
    // A pause of this gateway does not make the back end slow.
    const Duration paused = buffer_.PausedTime();
    const Duration elapsed = flow_.context_.environment.Now() - sent_at() - paused;
    flow_.admission_.RecordEnd(target_.id, end, elapsed, head_.status);
    record_.End(end, paused);
  }
  void ReportIfUnanswered() { record_.ReportIfUnanswered(); }

  /// Whether the response is being received, but paused for lack of memory.
  bool paused() const { return buffer_.paused(); }

  const BackendInstance& target() const { return target_; }
  const InstanceId& instance() const { return target_.id; }
  TimePoint sent_at() const { return record_.sent_at(); }
  const std::string& signature() const { return answer_.signature; }

 private:
  ForwardFlow& flow_;
  const BackendInstance target_;
  BackendAttempt record_;
  std::unique_ptr<CallHandle> handle_;
  HttpResponseHead head_;
  BackendAnswer answer_;
  ResponseBuffer buffer_;
  bool ended_ = false;
};

Duration TimeLimit(const Route& route, const ForwardRequest& request) {
  const bool streams = route.kind == RouteKind::kStream;
  const Duration limit = route.timeout.value_or(streams ? kDefaultStreamTimeout : kDefaultTimeout);
  return std::min(limit, request.time_left.value_or(limit));
}

std::shared_ptr<HeldBytes> HeldOf(const ForwardContext& context) {
  return context.memory == nullptr ? nullptr : context.memory->held();
}

ForwardFlow::ForwardFlow(ForwardContext& context, Route route, ForwardRequest request,
                         Callback done)
    : context_(context),
      route_(std::move(route)),
      request_(std::move(request)),
      done_(std::move(done)),
      started_at_(context.environment.Now()),
      meter_(context.on_request_started, request_.tenant),
      watch_(context.guard, context.directory, route_, request_),
      admission_(context.admission, context.environment, context.directory, *this, sends_, route_,
                 request_, started_at_),
      deadline_timer_(context.environment),
      retry_timer_(context.environment),
      hedge_timer_(context.environment) {
  deadline_ = started_at_ + TimeLimit(route_, request_);
  admission_.SetDeadline(deadline_);
}

ForwardFlow::~ForwardFlow() { CancelAttempts(); }

void ForwardFlow::CancelAttempts() {
  // Attempts in progress count as started, although a back end may still have them in its queue. If
  // an earlier attempt was answered, the request has been metered already.
  if (!attempts_.empty()) meter_.RecordStart(attempts_.front()->sent_at());
  for (const auto& attempt : attempts_) attempt->End(BackendEnd::kCancelled);
}

void ForwardFlow::Start() {
  deadline_timer_.Arm(TimeLeft(), [this] { OnDeadline(); });
  SendIfAllowed();
}

void ForwardFlow::SendIfAllowed() {
  watch_.SendIfAllowed(
      retry_timer_, [this] { WhenCurrentAndOpen([this] { SendOrWait(); }); },
      [this](Duration retry_after) { Withhold(retry_after); });
}

void ForwardFlow::WhenCurrentAndOpen(std::function<void()> work) {
  context_.when_current(alive_.Guard([this, work = std::move(work)] {
    if (done_) work();
  }));
}

void ForwardFlow::Withhold(Duration retry_after) {
  ForwardResult result;
  result.outcome = may_have_run_ > 0 ? ForwardOutcome::kFailed : ForwardOutcome::kNotRun;
  result.retry_after = retry_after;
  result.reason = "back ends ended under this request";
  Finish(std::move(result));
}

Duration ForwardFlow::TimeLeft() const {
  return std::max(deadline_ - context_.environment.Now(), Duration(0));
}

void LogLostAttempt(const ForwardContext& context, const ForwardRequest& request,
                    const RequestFingerprint& fingerprint, const InstanceId& instance,
                    TimePoint sent_at, const std::string& reason) {
  const Duration ran = context.environment.Now() - sent_at;
  LogEvent(EventId::kTryLost,
           "request={} fingerprint={} instance={} ran_ms={} running_there={} reason=\"{}\"",
           request.request_id, fingerprint, instance,
           std::chrono::duration_cast<std::chrono::milliseconds>(ran).count(),
           context.directory.Running(instance), reason);
}

ServiceName DrawService(const Route& route, Environment& environment) {
  uint64_t total = 0;
  for (const ServiceShare& share : route.services) total += share.weight;
  if (total == 0) return route.services.front().service;
  uint64_t drawn = DrawBelow(environment.Random(), total);
  for (const ServiceShare& share : route.services) {
    if (drawn < share.weight) return share.service;
    drawn -= share.weight;
  }
  return route.services.back().service;
}

void ForwardFlow::SendOrWait() {
  // A concurrent attempt may have been sent while this one waited for the configuration to be
  // confirmed.
  if (!attempts_.empty()) return;
  if (admission_.enabled()) return admission_.Send();
  if (!sends_.MaySendAgain(route_)) return GiveUp(kRetryAfter, sends_.last_reason);
  SendAttempt();
  if (!attempts_.empty()) return ArmHedge();
  // All known back ends were tried; allow each of them again.
  sends_.tried.clear();
  const Duration used = context_.environment.Now() - started_at_;
  const Duration all = deadline_ - started_at_;
  if (ToSeconds(used) >= kGiveUpShare * ToSeconds(all)) {
    return GiveUp(kRetryAfter,
                  sends_.last_reason.empty() ? "no back end is available" : sends_.last_reason);
  }
  // The guard is consulted again: by then it may know the outcome of the same request at other
  // nodes, and a request that waits for a server to restart would be the first to reach it.
  retry_timer_.Arm(pauses_.Next(context_.environment.Random()), [this] { SendIfAllowed(); });
}

void ForwardFlow::SendAdmitted(BackendInstance target) {
  SendTo(std::move(target));
  ArmHedge();
}

void ForwardFlow::GiveUp(Duration retry_after, std::string reason) {
  ForwardResult result;
  result.outcome = may_have_run_ > 0 ? ForwardOutcome::kFailed : ForwardOutcome::kNotRun;
  result.retry_after = retry_after;
  result.reason = std::move(reason);
  Finish(std::move(result));
}

void ForwardFlow::SendAttempt() {
  auto target = context_.directory.Pick(DrawService(route_, context_.environment), sends_.tried);
  if (target) SendTo(*std::move(target));
}

void ForwardFlow::SendTo(BackendInstance target) {
  sends_.tried.insert(target.id);
  last_instance_ = target.id;
  ++sends_.sent;
  // Counted before the send, and uncounted only if the back end reports that it did not run it.
  ++may_have_run_;
  confirmation_age_at_send_ = std::max(confirmation_age_at_send_, context_.confirmation_age());
  watch_.OnSent();
  BackendRequest request{request_.http, request_.host, request_.request_id, TimeLeft(),
                         target.id,     std::nullopt,  request_.tenant};
  attempts_.push_back(std::make_unique<Attempt>(*this, std::move(target)));
  attempts_.back()->Start(context_.protocol.MakeRequest(request));
}

void ForwardFlow::ArmHedge() {
  if (!repeatable()) return;
  const Duration delay = context_.directory.HedgeDelay(last_instance_, route_.target);
  hedge_timer_.Arm(std::max(delay, kMinHedgeDelay),
                   [this] { WhenCurrentAndOpen([this] { Hedge(); }); });
}

void ForwardFlow::Hedge() {
  for (const auto& attempt : attempts_) attempt->ReportIfUnanswered();
  // A hedge of a suspect request could crash two back ends at once.
  if (watch_.IsSuspect()) return;
  // Another attempt could not be read sooner than one that waits for memory here.
  const bool paused = std::any_of(attempts_.begin(), attempts_.end(),
                                  [](const auto& attempt) { return attempt->paused(); });
  if (paused) return ArmHedge();
  const bool may_send = may_have_run_ < route_.attempts && sends_.MaySendAgain(route_);
  if (may_send && !admission_.enabled()) SendAttempt();
  // While nothing is running, the request waits for its next send.
  if (may_send && admission_.enabled() && !attempts_.empty()) {
    if (auto target = admission_.NextHedge(sends_.tried)) SendTo(*std::move(target));
  }
  if (may_have_run_ < route_.attempts) ArmHedge();
}

void ForwardFlow::OnAnswer(Attempt& attempt, const HttpResponseHead& head, std::string body) {
  const std::string signature = attempt.signature();
  meter_.RecordStart(attempt.sent_at());
  // A repeatable request that fails with a server error is retried at another back end.
  const bool failed = head.status == kServerError;
  if (failed) ++server_errors_;
  EndAttempt(attempt, BackendEnd::kAnswered);
  watch_.OnServed();
  if (failed && repeatable() && may_have_run_ < route_.attempts) {
    sends_.last_reason = "the back end responded with status 500";
    if (attempts_.empty()) admission_.SendAgain(true);
    return;
  }
  if (failed && !attempts_.empty()) return;
  ForwardResult result;
  result.outcome = ForwardOutcome::kAnswered;
  result.head = head;
  result.body = std::move(body);
  result.signature = signature;
  Finish(std::move(result));
}

void ForwardFlow::OnRefused(Attempt& attempt, bool wrong_instance) {
  --may_have_run_;
  watch_.OnRefused(wrong_instance);
  sends_.last_reason =
      wrong_instance ? "another back end uses the address" : "the back end refused the request";
  EndAttempt(attempt, wrong_instance ? BackendEnd::kWrongInstance : BackendEnd::kRefused);
  if (attempts_.empty()) admission_.SendAgain(!wrong_instance);
}

void ForwardFlow::OnFailed(Attempt& attempt, bool unreachable, const std::string& reason) {
  if (unreachable) {
    --may_have_run_;
    ++sends_.unreached;
    watch_.OnUnreachable();
  }
  // A request that was sent and not refused has most likely started to run.
  if (!unreachable) {
    meter_.RecordStart(attempt.sent_at());
    LogLostAttempt(context_, request_, watch_.fingerprint(), attempt.instance(), attempt.sent_at(),
                   reason);
    watch_.OnLost(attempt.target());
  }
  sends_.last_reason = reason;
  EndAttempt(attempt, unreachable ? BackendEnd::kUnreachable : BackendEnd::kFailed);
  if (attempts_.empty()) RetryOrFail(!unreachable);
}

void ForwardFlow::RetryOrFail(bool reached) {
  const bool may_run_again =
      may_have_run_ == 0 || (repeatable() && may_have_run_ < route_.attempts);
  if (may_run_again) return admission_.SendAgain(reached);
  ForwardResult result;
  result.outcome = ForwardOutcome::kFailed;
  result.reason = sends_.last_reason;
  Finish(std::move(result));
}

void ForwardFlow::EndAttempt(Attempt& attempt, BackendEnd end) {
  attempt.End(end);
  last_instance_ = attempt.instance();
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [&attempt](const auto& entry) { return entry.get() == &attempt; });
  ended_attempts_.push_back(std::move(*found));
  attempts_.erase(found);
}

void ForwardFlow::OnDeadline() {
  ForwardResult result;
  result.outcome = may_have_run_ > 0 ? ForwardOutcome::kTimedOut : ForwardOutcome::kNotRun;
  result.retry_after = kRetryAfter;
  result.reason = "the time is over";
  Finish(std::move(result));
}

ForwardResult ForwardFlow::Progress() const {
  ForwardResult result;
  RecordAttempts(result);
  return result;
}

void ForwardFlow::RecordAttempts(ForwardResult& result) const {
  result.attempts = sends_.sent;
  result.instance = last_instance_;
  result.server_errors = server_errors_;
  result.confirmation_age_at_send = confirmation_age_at_send_;
}

void ForwardFlow::Finish(ForwardResult result) {
  RecordAttempts(result);
  admission_.Close();
  deadline_timer_.Cancel();
  retry_timer_.Cancel();
  hedge_timer_.Cancel();
  CancelAttempts();
  const Callback done = std::move(done_);
  done(std::move(result));
}

}  // namespace millstair
