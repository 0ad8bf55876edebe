/// Token bucket: limits a rate and the size of bursts.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace millstair {

/// Value type; uses the time of the node's environment. Starts full.
class TokenBucket {
 public:
  TokenBucket(double per_second, double capacity, TimePoint now)
      : per_second_(per_second), capacity_(capacity), tokens_(capacity), filled_at_(now) {}

  /// Number of complete tokens.
  uint32_t Available(TimePoint now) {
    Fill(now);
    // Keeps a rounding error from delaying a complete token.
    constexpr double kRounding = 1e-6;
    return static_cast<uint32_t>(std::max(tokens_ + kRounding, 0.0));
  }
  /// Takes one token; the balance may become negative.
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
