/// The smallest of the recent values, for example of latencies.
#pragma once

#include <algorithm>
#include <optional>

#include "common/time.h"

namespace millstair {

/// Value type. A value counts for one to two windows, so that no list of values is kept. Without
/// newer values it counts until they arrive: a pause says nothing about the next value. Times must
/// not decrease.
class RecentMinimum {
 public:
  explicit RecentMinimum(Duration window) : window_(window) {}

  void Add(Duration value, TimePoint now) {
    Turn(now);
    current_ = current_ ? std::min(*current_, value) : value;
  }
  /// Nullopt if there was no value.
  std::optional<Duration> Get(TimePoint now) {
    Turn(now);
    if (!previous_ || !current_) return current_ ? current_ : previous_;
    return std::min(*previous_, *current_);
  }

 private:
  void Turn(TimePoint now) {
    if (now - began_at_ < window_) return;
    if (current_) previous_ = current_;
    current_.reset();
    began_at_ = now;
  }

  Duration window_;
  TimePoint began_at_;
  std::optional<Duration> previous_;
  std::optional<Duration> current_;
};

}  // namespace millstair
