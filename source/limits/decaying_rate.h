/// Rate of events per second in a window that decays exponentially, so that no list of events is
/// kept.
#pragma once

#include <algorithm>
#include <cmath>

#include "common/time.h"

namespace millstair {

/// Value type. Times must not decrease.
class DecayingRate {
 public:
  explicit DecayingRate(Duration window) : window_seconds_(ToSeconds(window)) {}

  void Add(TimePoint now) {
    Decay(now);
    count_ += 1;
  }
  /// Raises the rate to `per_second` if it is lower.
  void Raise(double per_second, TimePoint now) {
    Decay(now);
    count_ = std::max(count_, per_second * window_seconds_);
  }
  /// Events per second.
  double PerSecond(TimePoint now) const { return Count(now) / window_seconds_; }
  /// Number of events, each weighted by how recent it is.
  double Count(TimePoint now) const {
    return count_ * std::exp(-ToSeconds(now - counted_at_) / window_seconds_);
  }

 private:
  void Decay(TimePoint now) {
    count_ = Count(now);
    counted_at_ = now;
  }

  double window_seconds_;
  double count_ = 0;
  TimePoint counted_at_;
};

}  // namespace millstair
