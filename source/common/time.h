/// Time in decision code: a node's own monotonic clock, and wall time for retention only.
#pragma once

#include <chrono>
#include <cstdint>

namespace millstair {

using Duration = std::chrono::microseconds;

/// Monotonic clock of one node. Time points of different nodes are never compared.
struct NodeClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<NodeClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = NodeClock::time_point;

/// Milliseconds since the Unix epoch. May jump; used for retention of hours, never for safety.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// The process's monotonic clock, for code that owns threads. Decision code asks its Environment.
inline TimePoint MonotonicNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Rounded down, for logs and messages.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace millstair
