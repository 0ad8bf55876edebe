/// Open-loop callers that send completions, pages, lookups and bookings through all gateways.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "simulator/clients/request_client.h"
#include "simulator/fleet/back_ends.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/fleet.h"
#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

class Callers {
 public:
  Callers(RunContext& context, const DeploymentPlan& plan, const LiveLoad& load,
          PromptRegistry& prompts);

  /// Sends calls until `until`.
  void Start(Duration until);

 private:
  /// A booking with the number of its attempts.
  struct Booking {
    std::string id;
    uint32_t attempts = 0;
  };

  void ScheduleNext(checks::CallKind kind, double rate);
  void Arrive(checks::CallKind kind);
  void SendCompletion(const std::string& prompt);
  void SendPlain(checks::CallKind kind);
  void SendBooking(Booking booking, size_t gateway);
  void OnBookingEnded(const Booking& booking, size_t gateway, const checks::CallAttempt& call,
                      const CompleteAnswer& answer);
  /// Sends `request` for `call` and records the result.
  void Send(checks::CallAttempt call, size_t gateway, HttpRequest request,
            std::function<void(const checks::CallAttempt&, const CompleteAnswer&)> ended);
  /// Sends to `gateway`; if no connection is established, tries up to `left` others in turn.
  void Connect(size_t index, size_t gateway, size_t left, HttpRequest request,
               std::function<void(const checks::CallAttempt&, const CompleteAnswer&)> ended);
  size_t DrawGateway();
  std::string NextAttemptId(std::string_view kind);
  std::string NextPrompt();

  RunContext& context_;
  const DeploymentPlan& plan_;
  LiveLoad load_;
  PromptRegistry& prompts_;
  RandomEngine random_;
  RequestClient client_;
  /// Request in flight by index of its call in the history, to abandon it.
  std::map<size_t, RequestClient::Id> in_flight_;
  Duration until_{0};
  uint64_t next_attempt_ = 1;
};

}  // namespace millstair::simulator
