/// State shared by the request flows of a gateway. Lives on the node's serial executor.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "common/environment.h"
#include "engine/engine_types.h"
#include "gateway/gateway_faults.h"
#include "http/exchange.h"
#include "limits/admission.h"
#include "retry/retry_policy.h"
#include "routing/engine_router.h"

namespace millstair {

/// Counters for /metrics.
struct GatewayCounters {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t refused_not_run = 0;
  uint64_t failed_unknown = 0;
  uint64_t failed_ran = 0;
  uint64_t aborted_answers = 0;
  uint64_t callers_disconnected = 0;
  uint64_t retries = 0;
  uint64_t resumes = 0;
  uint64_t hedges = 0;
  uint64_t deadlines_passed = 0;
  uint64_t refused_without_lease = 0;
  uint64_t refused_by_admission = 0;
  uint64_t refused_too_late = 0;
  uint64_t claims_taken = 0;
  uint64_t claims_refused = 0;
  uint64_t tokens = 0;
};

struct GatewayContext {
  GatewayContext(Environment& environment_in, ConfigurationClient& configuration_in,
                 ControlClient& control_in, EngineClient& engines_in, HttpCaller& http_in,
                 EngineRouter& router_in, NodeRecord self_in, GatewayFaults faults_in)
      : environment(environment_in),
        configuration(configuration_in),
        control(control_in),
        engines(engines_in),
        http(http_in),
        router(router_in),
        self(std::move(self_in)),
        faults(faults_in),
        retry(RetryTiming{}, retry_budget, environment.Random(),
              RetryFaults{.repeat_possibly_run = faults_in.repeat_possibly_run}) {}

  Environment& environment;
  ConfigurationClient& configuration;
  ControlClient& control;
  EngineClient& engines;
  HttpCaller& http;
  EngineRouter& router;
  NodeRecord self;
  GatewayFaults faults;
  RetryBudget retry_budget;
  RetryPolicy retry;
  GatewayCounters counters;
  /// Admission controllers by traffic group.
  std::map<std::string, std::unique_ptr<AdmissionController>> admission;
  /// Idempotency keys of the non-repeatable requests in progress on this gateway.
  std::set<std::string> once_keys;
  /// The gateway is being destroyed: nothing more is sent, as when the process is killed.
  bool closing = false;
  /// Makes request ids unique within this incarnation.
  uint64_t next_number = 1;

  /// Returns a cluster-wide unique request id.
  std::string NewRequestId() {
    return self.node.value() + "-" + std::to_string(self.incarnation.value()) + "-" +
           std::to_string(next_number++);
  }
  AdmissionController& AdmissionOf(const std::string& group, AdmissionLimits limits) {
    std::unique_ptr<AdmissionController>& controller = admission[group];
    if (controller == nullptr) {
      controller = std::make_unique<AdmissionController>(environment, limits);
    } else {
      controller->SetLimits(limits);
    }
    return *controller;
  }
};

}  // namespace millstair
