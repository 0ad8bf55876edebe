/// Counts the attempts at one back end that ended without a byte of a response. Header-only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "common/time.h"

namespace millstair {

/// How long an attempt must have waited without a byte of a response to count as silence: twice the
/// back end's usual latency, and at least the route's target. None if both are unknown, since
/// nothing says then when a response is due. `usual_seconds` and `target` are 0 if unknown.
inline std::optional<Duration> SilenceThreshold(double usual_seconds, Duration target) {
  constexpr double kUsualLatencies = 2;
  const Duration usual = FromSeconds(kUsualLatencies * usual_seconds);
  const Duration threshold = std::max(usual, target);
  return threshold > Duration(0) ? std::optional(threshold) : std::nullopt;
}

class BackendSilence {
 public:
  /// A byte of a response arrived.
  void RecordResponse(TimePoint now) {
    responded_at_ = now;
    count_ = 0;
  }

  /// An attempt sent at `sent_at` counts as silence. Attempts that overlap in time count once: a
  /// single pause of a back end delays all that it is working on.
  void RecordSilence(TimePoint sent_at, TimePoint now) {
    if (count_ > 0 && sent_at < latest_) return;
    ++count_;
    latest_ = now;
  }

  /// Silent attempts in a row, without a response in between.
  uint32_t count() const { return count_; }
  bool RespondedSince(TimePoint at) const { return responded_at_ && *responded_at_ >= at; }

 private:
  uint32_t count_ = 0;
  /// Time of the latest silence that was counted.
  TimePoint latest_;
  std::optional<TimePoint> responded_at_;
};

}  // namespace millstair
