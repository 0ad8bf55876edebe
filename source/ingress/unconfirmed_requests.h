/// Counts requests that were sent by a configuration whose lease had expired, and repeats the
/// counts since the start in the log, so that the end of a log tells what happened before it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/environment.h"
#include "common/event_log.h"
#include "common/scoped_timer.h"

namespace millstair {

/// Writes one line of the event log.
using LineWriter = std::function<void(EventId event, std::string_view text)>;

/// Lives on the node's serial executor.
class UnconfirmedRequests {
 public:
  UnconfirmedRequests(Environment& environment, LineWriter write_line);

  /// `age`: time since the last confirmation of the configuration as `request` was sent;
  /// `control_silence`: time since the last message of a control node as it arrived.
  void Add(const std::string& request, uint64_t routing_version, Duration age,
           Duration control_silence);

 private:
  void Log();

  Environment& environment_;
  const LineWriter write_line_;
  uint64_t count_ = 0;
  Duration longest_{0};
  /// Of the request with the longest age.
  Duration control_silence_{0};
  std::string longest_request_;
  uint64_t longest_version_ = 0;
  TimePoint last_at_;
  ScopedTimer timer_;
};

}  // namespace millstair
