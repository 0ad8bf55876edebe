/// Callers of the fleet: completions, pages, lookups and bookings, open loop, through all gateways.
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

  /// Calls arrive until `until`.
  void Start(Duration until);

 private:
  /// One booking, over all its attempts.
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
  /// Sends `request` for `call` and records how it ended.
  void Send(checks::CallAttempt call, size_t gateway, HttpRequest request,
            std::function<void(const checks::CallAttempt&, const CompleteAnswer&)> ended);
  /// Sends to `gateway`, and to the others in turn while no connection comes about.
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
  /// Request under way of each call in the history, for callers that go away.
  std::map<size_t, RequestClient::Id> in_flight_;
  Duration until_{0};
  uint64_t next_attempt_ = 1;
};

}  // namespace millstair::simulator
