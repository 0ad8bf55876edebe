/// One live request from arrival to response: admission, lease, deadline, disconnect of the
/// caller. Derived flows send the request to back ends.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/alive_flag.h"
#include "common/scoped_timer.h"
#include "gateway/gateway_context.h"
#include "gateway/once_claim.h"
#include "gateway/request_meta.h"
#include "gateway/traffic_matcher.h"
#include "http/problem.h"

namespace millstair {

/// Input of a flow.
struct FlowRequest {
  HttpRequest http;
  RequestMeta meta;
  std::shared_ptr<const MatchedGroup> group;
  std::shared_ptr<ResponseWriter> writer;
};

/// Lives on the node's serial executor. An ended flow does nothing more; its owner deletes it from
/// a separate event.
class RequestFlow {
 public:
  /// `ended` is called once, at the end; it must not delete the flow synchronously.
  RequestFlow(GatewayContext& context, FlowRequest request, std::function<void()> ended);
  virtual ~RequestFlow() = default;
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void Start();
  /// Ends the request because the gateway stops.
  void Abort();
  bool ended() const { return ended_; }

 protected:
  /// Sends the request. Called with the admission slot held, and the claim if one is needed.
  virtual void Dispatch() = 0;
  /// Cancels all calls in progress.
  virtual void DropCalls() = 0;
  /// Outcome known so far of the attempts in progress.
  virtual Outcome OutcomeUnderWay() const = 0;

  Duration TimeLeft() const;
  TimePoint deadline() const { return deadline_; }
  /// True if the gateway may dispatch requests of this group now.
  bool LeaseHeld() const;
  /// As LeaseHeld, but refuses the request if there is no lease.
  bool CheckLease();
  /// Sends `problem`, or aborts the response if it has begun, and ends.
  void Fail(Problem problem);
  /// Responds 503 with Retry-After.
  void RefuseNotRun(const std::string& title, const std::string& detail, Duration retry_after);
  /// Ends after the complete response has been sent.
  void Finish(int status);
  /// Adds a failed attempt to the outcome of the request.
  void RecordAttemptFailure(CallFailure failure);
  /// Fails with the known outcome, since no further attempt is possible.
  void FailExhausted(const std::string& detail);
  /// Releases the claim if the request did not run, then sends `problem`.
  void ReleaseClaimAndFail(const Problem& problem);
  bool may_have_run() const;

  GatewayContext& context_;
  FlowRequest request_;
  AliveFlag alive_;
  bool head_sent_ = false;
  int attempt_count_ = 0;

 private:
  void OnAdmitted();
  void RefuseAdmission(const AdmissionRefused& refused);
  void OnClaim(ClaimAnswer answer);
  void OnDeadline();
  void OnCallerDisconnected();
  void End();
  Outcome ReportedOutcome() const;

  std::function<void()> on_ended_;
  TimePoint deadline_;
  ScopedTimer deadline_timer_;
  std::unique_ptr<Admission> admission_;
  std::unique_ptr<OnceClaim> claim_;
  /// Combined outcome of all ended attempts.
  Outcome outcome_ = Outcome::kNotRun;
  bool ended_ = false;
};

}  // namespace millstair
