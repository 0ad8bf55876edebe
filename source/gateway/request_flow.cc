#include "gateway/request_flow.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Retry-After while the gateway has no lease.
constexpr Duration kLeaseRetryAfter = std::chrono::seconds(1);
/// Maximum wait for a once-only claim.
constexpr Duration kClaimTimeout = std::chrono::seconds(5);
constexpr int kUnprocessable = 422;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string AdmissionText(AdmissionRefusal reason) {
  switch (reason) {
    case AdmissionRefusal::kQueueFull:
      return "the queue of the traffic group is full";
    case AdmissionRefusal::kCannotMakeDeadline:
      return "the queue is too long for the request's deadline";
    case AdmissionRefusal::kDeadlinePassed:
      break;
  }
  return "the deadline passed in the queue";
}

}  // namespace

RequestFlow::RequestFlow(GatewayContext& context, FlowRequest request, std::function<void()> ended)
    : context_(context),
      request_(std::move(request)),
      on_ended_(std::move(ended)),
      deadline_(context.environment.Now() + request_.meta.time_limit),
      deadline_timer_(context.environment) {}

void RequestFlow::Start() {
  ++context_.counters.requests;
  request_.writer->OnCallerDisconnected(alive_.Guard([this] { OnCallerDisconnected(); }));
  if (!CheckLease()) return;
  deadline_timer_.Arm(request_.meta.time_limit, [this] { OnDeadline(); });
  const TrafficGroupSpec& spec = request_.group->spec;
  AdmissionController& controller =
      context_.AdmissionOf(request_.group->name, {spec.max_concurrent, spec.max_queued});
  AdmissionResult result =
      controller.Admit(request_.meta.priority, deadline_,
                       alive_.Guard([this](const std::optional<AdmissionRefused>& refused) {
                         if (ended_) return;
                         if (refused) {
                           RefuseAdmission(*refused);
                         } else {
                           OnAdmitted();
                         }
                       }));
  if (result.refused) {
    RefuseAdmission(*result.refused);
    return;
  }
  admission_ = std::move(result.admission);
  if (admission_->admitted()) OnAdmitted();
}

void RequestFlow::Abort() {
  if (ended_) return;
  Fail({kUnavailable, "stopping", "the gateway stopped before the request was finished",
        ReportedOutcome(), kLeaseRetryAfter});
}

void RequestFlow::OnAdmitted() {
  // The lease may have expired while the request was queued.
  if (!CheckLease()) return;
  if (request_.meta.repeatable) {
    Dispatch();
    return;
  }
  claim_ = std::make_unique<OnceClaim>(context_, request_.meta.idempotency_key,
                                       RequestDigest(request_.http), request_.meta.key_issued);
  claim_->Take(std::min(kClaimTimeout, TimeLeft()), alive_.Guard([this](ClaimAnswer answer) {
    if (!ended_) OnClaim(answer);
  }));
}

void RequestFlow::OnClaim(ClaimAnswer answer) {
  switch (answer) {
    case ClaimAnswer::kGranted:
      if (!CheckLease()) return;
      Dispatch();
      return;
    case ClaimAnswer::kHeld:
      Fail({kConflict, "key-in-doubt",
            "a request with this key is in progress, or its outcome is unknown", Outcome::kUnknown,
            std::nullopt});
      return;
    case ClaimAnswer::kDone:
      Fail({kConflict, "key-used", "the request with this key ran", Outcome::kRan, std::nullopt});
      return;
    case ClaimAnswer::kTooOld:
      Fail({kConflict, "key-too-old", "the key is older than the retention time of keys",
            Outcome::kUnknown, std::nullopt});
      return;
    case ClaimAnswer::kMismatch:
      Fail({kUnprocessable, "key-reused", "another request used this key", Outcome::kNotRun,
            std::nullopt});
      return;
    case ClaimAnswer::kUnavailable:
      break;
  }
  RefuseNotRun("no-claim", "the control nodes did not confirm the once-only claim",
               kLeaseRetryAfter);
}

void RequestFlow::RefuseAdmission(const AdmissionRefused& refused) {
  ++context_.counters.refused_by_admission;
  RefuseNotRun("overloaded", AdmissionText(refused.reason), refused.retry_after);
}

bool RequestFlow::LeaseHeld() const {
  if (context_.configuration.LeaseValid() || context_.faults.ignore_lease) return true;
  return request_.group->spec.serve_when_isolated;
}

bool RequestFlow::CheckLease() {
  if (LeaseHeld()) return true;
  ++context_.counters.refused_without_lease;
  const Problem problem{kUnavailable, "no-lease",
                        "the gateway's configuration is not confirmed to be current",
                        ReportedOutcome(), kLeaseRetryAfter};
  ReleaseClaimAndFail(problem);
  return false;
}

Duration RequestFlow::TimeLeft() const {
  return std::max(Duration(0), deadline_ - context_.environment.Now());
}

void RequestFlow::RecordAttemptFailure(CallFailure failure) {
  outcome_ = Combine(outcome_, OutcomeOf(failure));
}

bool RequestFlow::may_have_run() const {
  return Combine(outcome_, OutcomeUnderWay()) != Outcome::kNotRun;
}

Outcome RequestFlow::ReportedOutcome() const {
  if (context_.faults.not_run_after_send) return Outcome::kNotRun;
  return Combine(outcome_, OutcomeUnderWay());
}

void RequestFlow::FailExhausted(const std::string& detail) {
  const Outcome outcome = ReportedOutcome();
  if (outcome == Outcome::kNotRun) {
    ReleaseClaimAndFail({kUnavailable, "no-back-end", detail, outcome, kLeaseRetryAfter});
    return;
  }
  Fail({kBadGateway, "back-end-failed", detail, outcome, std::nullopt});
}

void RequestFlow::RefuseNotRun(const std::string& title, const std::string& detail,
                               Duration retry_after) {
  ReleaseClaimAndFail({kUnavailable, title, detail, ReportedOutcome(), retry_after});
}

void RequestFlow::ReleaseClaimAndFail(const Problem& problem) {
  const bool release = claim_ != nullptr && claim_->granted() && !may_have_run();
  if (!release) {
    Fail(problem);
    return;
  }
  DropCalls();
  // The caller may resend the request once it has the response, so the key is released first.
  claim_->Release(alive_.Guard([this, problem](bool released) {
    if (ended_) return;
    Problem answer = problem;
    if (!released) answer.detail += "; the idempotency key could not be released and stays claimed";
    Fail(answer);
  }));
}

void RequestFlow::Fail(Problem problem) {
  if (ended_) return;
  DropCalls();
  if (head_sent_) {
    ++context_.counters.aborted_answers;
    request_.writer->Abort();
    End();
    return;
  }
  if (problem.outcome == Outcome::kNotRun) ++context_.counters.refused_not_run;
  if (problem.outcome == Outcome::kUnknown) ++context_.counters.failed_unknown;
  if (problem.outcome == Outcome::kRan) ++context_.counters.failed_ran;
  if (claim_ != nullptr && claim_->granted() && problem.outcome == Outcome::kRan) {
    claim_->SettleDone(problem.status);
  }
  RespondProblem(*request_.writer, problem);
  End();
}

void RequestFlow::Finish(int status) {
  if (ended_) return;
  ++context_.counters.answered;
  if (claim_ != nullptr && claim_->granted()) claim_->SettleDone(status);
  End();
}

void RequestFlow::OnDeadline() {
  ++context_.counters.deadlines_passed;
  const Outcome outcome = ReportedOutcome();
  if (outcome == Outcome::kNotRun) {
    RefuseNotRun("deadline", "the deadline passed before the request could be sent",
                 kLeaseRetryAfter);
    return;
  }
  Fail({kGatewayTimeout, "deadline", "the deadline passed before the back end responded", outcome,
        std::nullopt});
}

void RequestFlow::OnCallerDisconnected() {
  if (ended_) return;
  ++context_.counters.callers_disconnected;
  // The claim is released if the request was not dispatched, and stays if it may have run.
  if (claim_ != nullptr && claim_->granted() && !may_have_run()) claim_->Release([](bool) {});
  DropCalls();
  End();
}

void RequestFlow::End() {
  if (ended_) return;
  ended_ = true;
  deadline_timer_.Cancel();
  admission_.reset();
  claim_.reset();
  if (on_ended_) on_ended_();
}

}  // namespace millstair
