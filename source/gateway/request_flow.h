/// One live request from its arrival to its answer: admission, lease, deadline, the caller that
/// goes away. What is done with the back ends is up to the derived flows.
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

/// What a flow works on.
struct FlowRequest {
  HttpRequest http;
  RequestMeta meta;
  std::shared_ptr<const MatchedGroup> group;
  std::shared_ptr<ResponseWriter> writer;
};

/// Lives on the node's serial executor. After it has ended it does nothing more and its owner
/// deletes it from a fresh event.
class RequestFlow {
 public:
  /// `ended` is called once, at the end; it must not delete the flow at once.
  RequestFlow(GatewayContext& context, FlowRequest request, std::function<void()> ended);
  virtual ~RequestFlow() = default;
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void Start();
  /// Ends the request because the gateway stops: what can't be finished any more is cut.
  void Abort();
  bool ended() const { return ended_; }

 protected:
  /// A slot is held, and the claim if one is needed: send the request.
  virtual void Dispatch() = 0;
  /// Drops all calls under way.
  virtual void DropCalls() = 0;
  /// What is known of tries that have not ended yet.
  virtual Outcome OutcomeUnderWay() const = 0;

  Duration TimeLeft() const;
  TimePoint deadline() const { return deadline_; }
  /// The gateway may send work of this group now.
  bool LeaseHeld() const;
  /// The same; if not, the request was answered.
  bool CheckLease();
  /// Answers by `problem`, or cuts the answer if it has begun, and ends.
  void Fail(Problem problem);
  /// 503 not-run with the time to come back.
  void RefuseNotRun(const std::string& title, const std::string& detail, Duration retry_after);
  /// The answer has been sent whole.
  void Finish(int status);
  /// A try ended with `failure`.
  void RecordAttemptFailure(CallFailure failure);
  /// No try can be made any more; says what is known of the request.
  void FailExhausted(const std::string& detail);
  /// Forgets a claim whose request truly did not run, then answers.
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
  /// Over all tries that have ended.
  Outcome outcome_ = Outcome::kNotRun;
  bool ended_ = false;
};

}  // namespace millstair
