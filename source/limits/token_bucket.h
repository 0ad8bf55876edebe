/// Lets through so many a second, and a few at once.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace millstair {

/// Value type; time is that of the node's environment. Begins full: whoever may have used up
/// another holder's part waits before it takes from a new one.
class TokenBucket {
 public:
  TokenBucket(double per_second, double capacity, TimePoint now)
      : per_second_(per_second), capacity_(capacity), tokens_(capacity), filled_at_(now) {}

  /// Whole tokens that are there.
  uint32_t Available(TimePoint now) {
    Fill(now);
    // A rounding error must not cost a whole further wait.
    constexpr double kRounding = 1e-6;
    return static_cast<uint32_t>(std::max(tokens_ + kRounding, 0.0));
  }
  /// Takes one, also if none is there: it is missing later then.
  void Take(TimePoint now) {
    Fill(now);
    tokens_ -= 1;
  }

 private:
  void Fill(TimePoint now) {
    tokens_ = std::min(tokens_ + per_second_ * ToSeconds(now - filled_at_), capacity_);
    filled_at_ = now;
  }

  double per_second_;
  double capacity_;
  double tokens_;
  TimePoint filled_at_;
};

}  // namespace millstair
