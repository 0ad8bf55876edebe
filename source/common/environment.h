/// External inputs of decision code: time, timers and randomness. `millstaird` implements it with
/// real clocks, the simulator with virtual time, so that both run the same decision code.
#pragma once

#include <cstdint>
#include <functional>
#include <random>

#include "common/strong_id.h"
#include "common/time.h"

namespace millstair {

/// Handle of a scheduled callback; 0 means none.
using TimerId = StrongId<struct TimerIdTag, uint64_t>;
/// Random engine of a node, seeded by the environment; the same seed reproduces a run.
using RandomEngine = std::mt19937_64;

/// Owned by the runtime of one node. Every call and every callback happens on that node's serial
/// executor, so decision code needs no locks.
class Environment {
 public:
  virtual ~Environment() = default;

  /// Monotonic time of this node, which advances while its machine is suspended. All guarantees are
  /// based on this clock: leases, confirmation of configurations, fences, leader tasks, pauses.
  virtual TimePoint Now() const = 0;
  /// Wall time of this node; may be wrong or jump.
  virtual WallTime WallNow() const = 0;
  virtual RandomEngine& Random() = 0;

  /// Runs `callback` once after `delay`. Callbacks of a stopped node are dropped.
  virtual TimerId Schedule(Duration delay, std::function<void()> callback) = 0;
  /// Cancels a scheduled callback; no effect once it ran.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace millstair
