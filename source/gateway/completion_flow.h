/// One completion: streamed as server-sent events or answered whole. A generation that breaks off
/// goes on at the token reached on another engine.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/completion_codec.h"
#include "gateway/generation_assembly.h"
#include "gateway/request_flow.h"

namespace millstair {

class CompletionFlow : public RequestFlow {
 public:
  CompletionFlow(GatewayContext& context, FlowRequest request, CompletionRequest completion,
                 std::function<void()> ended);
  ~CompletionFlow() override;

 protected:
  void Dispatch() override;
  void DropCalls() override;
  Outcome OutcomeUnderWay() const override;

 private:
  class Attempt;

  void PlaceOrWait();
  void StartAttempt(Placement placement);
  /// A better engine, if the estimate of the one drawn goes beyond the deadline.
  Placement FindFasterEngine(Placement placement);
  /// The engine's estimate goes beyond the deadline; the request was refused.
  bool RefuseIfTooLate(const Placement& placement);
  void OnChunk(const GenerateChunk& chunk);
  void OnFailed(CallFailure failure, bool leaving, const std::string& reason);
  /// Ends the attempt under way.
  void EndAttempt(const PlacementOutcome& outcome);
  void RetryOrFail(CallFailure failure, const std::string& reason);
  void SendPart(size_t first_token, const GenerateChunk& chunk);
  void SendComplete();
  void ApplyBackpressure();

  CompletionRequest completion_;
  std::string id_;
  RoutingRequest routing_;
  GenerationAssembly assembly_;
  std::unique_ptr<Attempt> attempt_;
  /// Ended attempts, kept until the flow goes, since their callbacks may still be on the stack.
  std::vector<std::unique_ptr<Attempt>> ended_attempts_;
  ScopedTimer retry_timer_;
  TimePoint waiting_since_;
  bool waiting_ = false;
};

}  // namespace millstair
