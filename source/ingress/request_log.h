/// One log entry for each client request: a full line up to a rate, beyond it a short entry in a
/// line shared by many requests, so that a single request can be traced under load.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/event_log.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "ingress/forward_flow.h"
#include "ingress/unconfirmed_requests.h"
#include "limits/token_bucket.h"

namespace millstair {

/// State of the node when a request arrived.
struct RequestArrival {
  /// Age of the last confirmation of the configuration; nullopt if there was none.
  std::optional<Duration> confirmation_age;
  /// The control node that confirmed the configuration last, and the revision held.
  NodeId confirmed_by;
  Revision revision;
  /// Time since the last message of any control node.
  Duration control_silence{0};
  /// How long the request has waited for a confirmation.
  Duration wait_time{0};
};

/// How a request ended. Only the log fields of `result` are used.
struct RequestRecord {
  std::string request;
  /// Status of the response; 0 if the client disconnected before.
  int status = 0;
  /// Events passed on, for a stream.
  uint64_t events = 0;
  ForwardResult result;
  RequestArrival arrival;
};

/// Lives on the node's serial executor. Never blocks; the volume of its lines is bounded.
class RequestLog {
 public:
  /// `lease`: requests sent by a configuration that was confirmed longer ago are counted, and the
  /// count is logged. `stats` may be null.
  RequestLog(Environment& environment, Duration lease, StatsRegistry* stats,
             LineWriter write_line = WriteEvent);
  ~RequestLog();

  /// `event` names how the request ended.
  void Record(EventId event, const RequestRecord& record);

 private:
  void Count(const RequestRecord& record);
  void Summarize(const RequestRecord& record);
  void WriteSummary();

  Environment& environment_;
  const Duration lease_;
  StatsRegistry* const stats_;
  const LineWriter write_line_;
  UnconfirmedRequests unconfirmed_;
  TokenBucket lines_;
  TokenBucket summaries_;
  /// Short entries that are not written yet.
  std::string entries_;
  uint64_t left_out_ = 0;
  ScopedTimer timer_;
};

}  // namespace millstair
