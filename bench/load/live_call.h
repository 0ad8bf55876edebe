/// One live call of a caller: what is asked, how it is sent, and what came of it, as a record for
/// the history checks.
#pragma once

#include <string>

#include "bench/load/run_clock.h"
#include "ctl/blocking_client.h"
#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair {

/// A gateway as callers reach it.
struct GatewayTarget {
  std::string node;
  /// "ip:port".
  std::string address;
};

struct LiveCall {
  checks::CallKind kind = checks::CallKind::kPage;
  /// Unique per try; sent as X-Request-Id.
  std::string attempt_id;
  /// Host header; empty sends the gateway's address.
  std::string host;
  /// Path of a plain call.
  std::string path;
  std::string body;
  /// Once-only key of a booking, shared by its resends.
  std::string key;
  std::string model;
  std::string prompt;
  uint32_t max_tokens = 0;
  bool stream = true;
  /// 1..3; 0 leaves it to the traffic group.
  int priority = 0;
  Duration timeout = std::chrono::seconds(30);
};

/// Sends `call` and waits for its end. For plain calls, `body` of the record equals `expected_body`
/// exactly if the answer is the echo of this request.
checks::CallAttempt PlaceCall(BlockingCaller& caller, const GatewayTarget& gateway,
                              const LiveCall& call, const RunClock& clock);

/// The text that the engine model generates.
checks::TextOracle EngineOracle();

}  // namespace millstair
