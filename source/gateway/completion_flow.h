/// One completion: streamed as server-sent events or sent as one response. A generation that fails
/// midway resumes on another engine after the last received token.
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
  /// Returns a placement with a lower estimate if the one chosen would miss the deadline.
  Placement FindFasterEngine(Placement placement);
  /// Refuses the request if the engine's estimate exceeds the deadline; true if refused.
  bool RefuseIfTooLate(const Placement& placement);
  void OnChunk(const GenerateChunk& chunk);
  void OnFailed(CallFailure failure, bool leaving, const std::string& reason);
  /// Ends the current attempt.
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
  /// Ended attempts, destroyed with the flow, since their callbacks may still be on the stack.
  std::vector<std::unique_ptr<Attempt>> ended_attempts_;
  ScopedTimer retry_timer_;
  TimePoint waiting_since_;
  bool waiting_ = false;
};

}  // namespace millstair
