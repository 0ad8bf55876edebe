/// Proxies one request to plain HTTP back ends: retries it if it did not run or is repeatable,
/// hedges repeatable requests, and never presents a truncated response as complete.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/request_flow.h"

namespace millstair {

class PlainFlow : public RequestFlow {
 public:
  PlainFlow(GatewayContext& context, FlowRequest request, std::function<void()> ended);
  ~PlainFlow() override;

 protected:
  void Dispatch() override;
  void DropCalls() override;
  Outcome OutcomeUnderWay() const override;

 private:
  class BackEndCall;

  /// Starts one attempt; false if no back end can accept it now. Back ends that were tried before
  /// are considered only if `again`.
  bool SendAttempt(bool again);
  void AttemptOrWait();
  void ArmHedge();
  void OnHead(BackEndCall& call, const HttpResponseHead& head);
  void OnBody(BackEndCall& call, std::string bytes);
  void OnFinished(BackEndCall& call);
  void OnFailed(BackEndCall& call, CallFailure failure, bool leaving, const std::string& reason);
  void DropOthers(const BackEndCall& winner);
  void RetryOrFail(CallFailure failure, const std::string& reason);

  /// Calls in progress; more than one only while hedging.
  std::vector<std::unique_ptr<BackEndCall>> calls_;
  /// Ended calls, destroyed with the flow, since their callbacks may still be on the stack.
  std::vector<std::unique_ptr<BackEndCall>> ended_calls_;
  std::set<EngineName> tried_back_ends_;
  ScopedTimer retry_timer_;
  ScopedTimer hedge_timer_;
  TimePoint waiting_since_;
  bool waiting_ = false;
  int status_ = 0;
};

}  // namespace millstair
