#include "ingress/stream_flow.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"
#include "ingress/backend_attempt.h"

namespace millstair {
namespace {

constexpr int kOk = 200;
/// A stream that no back end accepts is given up after this share of its time limit.
constexpr double kGiveUpShare = 0.5;
constexpr Duration kRetryAfter = std::chrono::milliseconds(50);

}  // namespace

/// One run at one back end.
class StreamFlow::Run : public HttpCallObserver {
 public:
  Run(StreamFlow& flow, BackendInstance target)
      : flow_(flow),
        target_(std::move(target)),
        record_(flow.context_.environment, flow.context_.directory, target_.id, flow.route_.target),
        buffer_(flow.context_.memory, flow.context_.environment, flow.started_at_) {}

  void Start(HttpRequest request) {
    handle_ = flow_.context_.http.Start(target_.address, std::move(request), *this);
  }
  void OnHead(const HttpResponseHead& head) override {
    if (!ended_ && flow_.OnHead(*this, head)) buffer_.Begin(head, handle_.get(), kMaxAnswerBytes);
  }
  void OnBody(std::string bytes) override {
    if (ended_) return;
    record_.OnResponse();
    if (!flow_.plain_) return flow_.OnEvents(*this, bytes);
    buffer_.Append(bytes);
    if (buffer_.size() <= kMaxAnswerBytes) return;
    flow_.OnFailed(*this, BackendEnd::kFailed, "the response exceeds 32 MiB");
  }
  void OnFinished() override {
    if (!ended_) flow_.OnFinished(*this);
  }
  void OnFailed(CallFailure failure, const std::string& reason) override {
    const bool unreachable = failure == CallFailure::kNotSent;
    if (ended_) return;
    flow_.OnFailed(*this, unreachable ? BackendEnd::kUnreachable : BackendEnd::kFailed, reason);
  }

  void End(BackendEnd end) {
    if (ended_) return;
    ended_ = true;
    buffer_.End();
    handle_.reset();
    if (paused_since_) paused_time_ += flow_.context_.environment.Now() - *paused_since_;
    // A pause of this gateway does not make the back end slow.
    const Duration paused = paused_time_ + buffer_.PausedTime();
    const Duration elapsed = flow_.context_.environment.Now() - sent_at() - paused;
    // The time until a stream's response begins tells whether its back end keeps up, not its
    // length.
    if (!head_recorded_) flow_.admission_.RecordEnd(target_.id, end, elapsed, 0);
    record_.End(end, paused);
  }
  void OnResponse() { record_.OnResponse(); }

  /// The back end has begun to respond and did not refuse the request.
  void RecordHead(int status) {
    head_recorded_ = true;
    flow_.admission_.RecordEnd(target_.id, BackendEnd::kAnswered,
                               flow_.context_.environment.Now() - sent_at(), status);
  }

  /// Only streams are paused for their reader; a plain response is paused by its buffer.
  void SetPaused(bool paused) {
    if (paused == paused_since_.has_value()) return;
    const TimePoint now = flow_.context_.environment.Now();
    if (paused) {
      paused_since_ = now;
      handle_->PauseReading();
    } else {
      paused_time_ += now - *paused_since_;
      paused_since_.reset();
      handle_->ResumeReading();
    }
  }

  std::string TakeBody() { return buffer_.Take(); }

  const BackendInstance& target() const { return target_; }
  TimePoint sent_at() const { return record_.sent_at(); }

 private:
  StreamFlow& flow_;
  const BackendInstance target_;
  BackendAttempt record_;
  std::unique_ptr<CallHandle> handle_;
  ResponseBuffer buffer_;
  std::optional<TimePoint> paused_since_;
  Duration paused_time_{0};
  bool head_recorded_ = false;
  bool ended_ = false;
};

StreamFlow::StreamFlow(ForwardContext& context, Route route, ForwardRequest request,
                       StreamSink& sink, Callback done)
    : context_(context),
      route_(std::move(route)),
      request_(std::move(request)),
      partial_event_hold_(HeldOf(context)),
      sink_(sink),
      done_(std::move(done)),
      started_at_(context.environment.Now()),
      meter_(context.on_request_started, request_.tenant),
      watch_(context.guard, context.directory, route_, request_),
      admission_(context.admission, context.environment, context.directory, *this, sends_, route_,
                 request_, started_at_),
      retry_after_(kRetryAfter),
      deadline_timer_(context.environment),
      retry_timer_(context.environment) {
  deadline_ = started_at_ + TimeLimit(route_, request_);
  admission_.SetDeadline(deadline_);
  events_ = request_.resume_after.value_or(0);
}

StreamFlow::~StreamFlow() {
  if (run_ != nullptr) run_->End(BackendEnd::kCancelled);
}

void StreamFlow::Start() {
  deadline_timer_.Arm(deadline_ - context_.environment.Now(),
                      [this] { Finish(ForwardOutcome::kTimedOut, "the time is over"); });
  SendIfAllowed();
}

void StreamFlow::SendIfAllowed() {
  watch_.SendIfAllowed(
      retry_timer_, [this] { SendRunWhenCurrent(); },
      [this](Duration retry_after) { Withhold(retry_after); });
}

void StreamFlow::SendRunWhenCurrent() {
  context_.when_current(alive_.Guard([this] {
    if (done_) SendRun();
  }));
}

void StreamFlow::Withhold(Duration retry_after) {
  retry_after_ = retry_after;
  Finish(ForwardOutcome::kFailed, "back ends ended under this request");
}

void StreamFlow::SendRun() {
  if (admission_.enabled()) return admission_.Send();
  if (!sends_.MaySendAgain(route_)) return Finish(ForwardOutcome::kFailed, sends_.last_reason);
  auto target = context_.directory.Pick(DrawService(route_, context_.environment), sends_.tried);
  if (!target) {
    // All known back ends were tried; allow each of them again.
    sends_.tried.clear();
    const double used = ToSeconds(context_.environment.Now() - started_at_);
    if (!begun_ && used >= kGiveUpShare * ToSeconds(deadline_ - started_at_)) {
      return Finish(ForwardOutcome::kFailed, "no back end is available");
    }
    retry_timer_.Arm(pauses_.Next(context_.environment.Random()), [this] { SendIfAllowed(); });
    return;
  }
  SendTo(*std::move(target));
}

void StreamFlow::SendAdmitted(BackendInstance target) { SendTo(std::move(target)); }

void StreamFlow::GiveUp(Duration retry_after, std::string reason) {
  retry_after_ = retry_after;
  Finish(ForwardOutcome::kFailed, reason);
}

void StreamFlow::SendTo(BackendInstance target) {
  sends_.tried.insert(target.id);
  last_instance_ = target.id;
  ++sends_.sent;
  ++may_have_run_;
  confirmation_age_at_send_ = std::max(confirmation_age_at_send_, context_.confirmation_age());
  watch_.OnSent();
  BackendRequest request{request_.http,       request_.host,
                         request_.request_id, deadline_ - context_.environment.Now(),
                         target.id,           request_.resume_after,
                         request_.tenant};
  if (begun_) request.resume_after = events_;
  run_ = std::make_unique<Run>(*this, std::move(target));
  run_->Start(context_.protocol.MakeRequest(request));
  if (paused_) run_->SetPaused(true);
}

void StreamFlow::SetPaused(bool paused) {
  paused_ = paused;
  if (run_ != nullptr) run_->SetPaused(paused);
}

bool StreamFlow::OnHead(Run& run, const HttpResponseHead& head) {
  const BackendAnswer answer = context_.protocol.ReadAnswer(head, request_.request_id);
  if (!answer.own) {
    OnFailed(run, BackendEnd::kFailed, "the response belongs to another request");
    return false;
  }
  run.OnResponse();
  if (answer.not_run) {
    --may_have_run_;
    watch_.OnRefused(answer.wrong_instance);
    sends_.last_reason = answer.wrong_instance ? "another back end uses the address"
                                               : "the back end refused the request";
    EndRun(answer.wrong_instance ? BackendEnd::kWrongInstance : BackendEnd::kRefused);
    admission_.SendAgain(!answer.wrong_instance);
    return false;
  }
  run.RecordHead(head.status);
  if (begun_ && head.status != kOk) {
    OnFailed(run, BackendEnd::kFailed, fmt::format("status {}", head.status));
    return false;
  }
  if (begun_) return false;
  head_ = head;
  plain_ = head.status != kOk;
  if (plain_) return true;
  begun_ = true;
  admission_.OnBegun();
  sink_.OnHead(head);
  return false;
}

void StreamFlow::OnEvents(Run& run, const std::string& bytes) {
  const bool valid = ForwardEvents(bytes);
  partial_event_hold_.Set(splitter_.partial_bytes());
  if (!valid) {
    return OnFailed(run, BackendEnd::kFailed,
                    "the stream holds an event that is malformed or out of order");
  }
  if (splitter_.partial_bytes() <= kMaxAnswerBytes) return;
  OnFailed(run, BackendEnd::kFailed, "the stream holds an event that exceeds 32 MiB");
}

bool StreamFlow::ForwardEvents(const std::string& bytes) {
  std::string complete;
  bool valid = true;
  for (const std::string& lines : splitter_.Append(bytes)) {
    const auto event = context_.protocol.ReadEvent(lines);
    valid = event.ok();
    if (!valid) break;
    if (event->has_value()) {
      // Event ids increase; a resumed run has to start after the last event passed on.
      valid = (*event)->id > events_;
      if (!valid) break;
      events_ = (*event)->id;
    }
    complete += lines;
    complete += "\n\n";
  }
  if (!complete.empty()) {
    // The run got further than the one that was lost.
    if (std::exchange(after_loss_, false)) watch_.OnServed();
    // A generation counts as started with its first token.
    meter_.RecordStart(context_.environment.Now());
    sink_.OnEvents(std::move(complete));
  }
  return valid;
}

void StreamFlow::OnFinished(Run& run) {
  if (!plain_ && splitter_.HasPartialEvent()) {
    return OnFailed(run, BackendEnd::kFailed, "the stream ended inside an event");
  }
  if (plain_) plain_body_ = run.TakeBody();
  EndRun(BackendEnd::kAnswered);
  watch_.OnServed();
  Finish(ForwardOutcome::kAnswered, "");
}

void StreamFlow::OnFailed(Run& run, BackendEnd end, const std::string& reason) {
  if (end == BackendEnd::kUnreachable) {
    --may_have_run_;
    ++sends_.unreached;
    watch_.OnUnreachable();
  } else {
    LogLostAttempt(context_, request_, watch_.fingerprint(), run.target().id, run.sent_at(),
                   reason);
    watch_.OnLost(run.target());
    after_loss_ = true;
  }
  sends_.last_reason = reason;
  EndRun(end);
  ResumeOrFail(end != BackendEnd::kUnreachable, reason);
}

void StreamFlow::ResumeOrFail(bool reached, const std::string& reason) {
  const bool may_run_again =
      may_have_run_ == 0 || (route_.resumable && may_have_run_ < route_.attempts);
  if (!may_run_again) return Finish(ForwardOutcome::kFailed, reason);
  splitter_ = EventStreamSplitter();
  plain_ = false;
  admission_.SendAgain(reached);
}

void StreamFlow::EndRun(BackendEnd end) {
  run_->End(end);
  ended_runs_.push_back(std::move(run_));
}

ForwardResult StreamFlow::Progress() const {
  ForwardResult result;
  result.attempts = sends_.sent;
  result.instance = last_instance_;
  result.confirmation_age_at_send = confirmation_age_at_send_;
  return result;
}

void StreamFlow::Finish(ForwardOutcome outcome, const std::string& reason) {
  StreamEnd result;
  result.forward = Progress();
  const bool not_run = outcome != ForwardOutcome::kAnswered && may_have_run_ == 0 && !begun_;
  result.forward.outcome = not_run ? ForwardOutcome::kNotRun : outcome;
  result.forward.retry_after = retry_after_;
  result.forward.reason = reason;
  result.forward.head = head_;
  result.forward.body = std::move(plain_body_);
  result.begun = begun_;
  result.events = events_;
  admission_.Close();
  deadline_timer_.Cancel();
  retry_timer_.Cancel();
  if (run_ != nullptr) run_->End(BackendEnd::kCancelled);
  const Callback done = std::move(done_);
  done(std::move(result));
}

}  // namespace millstair
