/// Whether an engine responds to this node, which decides whether its slots and its load are
/// counted. Header-only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "common/time.h"

namespace millstair {

/// An engine without a response for this long is lost. Items that wait for another engine to load
/// its model are sent within the 5 s that the platform allows: detection, this, and a load.
inline constexpr Duration kEngineLostAfter = std::chrono::seconds(2);

class EngineReachability {
 public:
  /// A part of a response to any call arrived.
  void RecordResponse() {
    unanswered_since_.reset();
    unanswered_ = 0;
  }

  /// A request for a report got a response, whatever it says.
  void RecordReport(TimePoint now) {
    RecordResponse();
    next_check_at_ = now + kCheckInterval;
  }

  /// The request for a report that was sent at `sent_at` ended without a response.
  void RecordNoReport(TimePoint sent_at, TimePoint now) {
    if (!unanswered_since_) unanswered_since_ = sent_at;
    ++unanswered_;
    next_check_at_ =
        now + std::clamp((now - *unanswered_since_) / 8, kMinCheckInterval, kMaxCheckInterval);
  }

  /// Whether nothing has been left without a response since the latest one.
  bool Responds() const { return unanswered_ == 0; }
  /// When the first request without a response was sent; none if it responds.
  std::optional<TimePoint> unanswered_since() const { return unanswered_since_; }
  /// One request is not enough: it may have timed out because this node was paused.
  bool IsLost(TimePoint now) const {
    return unanswered_ >= kMinUnanswered && now - *unanswered_since_ >= kEngineLostAfter;
  }
  /// When to request the next report of an engine that does not respond or fails items.
  TimePoint next_check_at() const { return next_check_at_; }

 private:
  static constexpr uint32_t kMinUnanswered = 2;
  static constexpr Duration kCheckInterval = std::chrono::seconds(1);
  static constexpr Duration kMinCheckInterval = std::chrono::milliseconds(50);
  static constexpr Duration kMaxCheckInterval = std::chrono::seconds(2);

  std::optional<TimePoint> unanswered_since_;
  uint32_t unanswered_ = 0;
  TimePoint next_check_at_;
};

}  // namespace millstair
