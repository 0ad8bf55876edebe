/// Sends a live call to a gateway and records its result for the history checks.
#pragma once

#include <string>

#include "bench/load/run_clock.h"
#include "ctl/blocking_client.h"
#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair {

/// A gateway and the address that callers use.
struct GatewayTarget {
  std::string node;
  /// "ip:port".
  std::string address;
};

struct LiveCall {
  checks::CallKind kind = checks::CallKind::kPage;
  /// Unique per attempt; sent as X-Request-Id.
  std::string attempt_id;
  /// Host header; the address of the gateway if empty.
  std::string host;
  /// Path of a plain call.
  std::string path;
  std::string body;
  /// Idempotency key of a booking, shared by its retries.
  std::string key;
  std::string model;
  std::string prompt;
  uint32_t max_tokens = 0;
  bool stream = true;
  /// 1..3; 0 uses the priority of the traffic group.
  int priority = 0;
  Duration timeout = std::chrono::seconds(30);
};

/// Sends `call` and blocks until it ends. For plain calls, `body` of the record equals
/// `expected_body` if and only if the response echoes this request.
checks::CallAttempt SendCall(BlockingCaller& caller, const GatewayTarget& gateway,
                             const LiveCall& call, const RunClock& clock);

/// Computes the text that the engine model must generate.
checks::TextOracle EngineOracle();

}  // namespace millstair
