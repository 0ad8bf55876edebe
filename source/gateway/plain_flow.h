/// Proxies one request to plain HTTP back ends: retries what did not run or may run again, hedges
/// what may run twice, and never shows a cut answer as complete.
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

  /// Sends one try; false if no back end may take it now. A back end that was tried already is
  /// taken again only if `again`.
  bool SendAttempt(bool again);
  void AttemptOrWait();
  void ArmHedge();
  void OnHead(BackEndCall& call, const HttpResponseHead& head);
  void OnBody(BackEndCall& call, std::string bytes);
  void OnFinished(BackEndCall& call);
  void OnFailed(BackEndCall& call, CallFailure failure, bool leaving, const std::string& reason);
  void DropOthers(const BackEndCall& winner);
  void RetryOrFail(CallFailure failure, const std::string& reason);

  /// Calls under way; more than one only while hedging.
  std::vector<std::unique_ptr<BackEndCall>> calls_;
  /// Ended calls, kept until the flow goes, since their callbacks may still be on the stack.
  std::vector<std::unique_ptr<BackEndCall>> ended_calls_;
  std::set<EngineName> tried_back_ends_;
  ScopedTimer retry_timer_;
  ScopedTimer hedge_timer_;
  TimePoint waiting_since_;
  bool waiting_ = false;
  int status_ = 0;
};

}  // namespace millstair
