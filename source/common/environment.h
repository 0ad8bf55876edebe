/// What decision code gets from outside: time, timers and randomness. `millstaird` backs it with
/// real clocks, the simulator with virtual time, so that the code in between is the same.
#pragma once

#include <cstdint>
#include <functional>
#include <random>

#include "common/strong_id.h"
#include "common/time.h"

namespace millstair {

/// Handle of a scheduled callback; 0 is none.
using TimerId = StrongId<struct TimerIdTag, uint64_t>;
/// Random engine of a node. Seeded by the environment; the same seed gives the same run.
using RandomEngine = std::mt19937_64;

/// Owned by the runtime of one node. Every call and every callback happens on that node's serial
/// executor, so decision code needs no locks.
class Environment {
 public:
  virtual ~Environment() = default;

  /// Monotonic time of this node, which goes on while its machine is suspended. The one clock for
  /// all promises: leases, proofs of freshness, fences, duties, pauses.
  virtual TimePoint Now() const = 0;
  /// Wall time of this node; may be wrong or jump.
  virtual WallTime WallNow() const = 0;
  virtual RandomEngine& Random() = 0;

  /// Runs `callback` once, `delay` from now. Callbacks of a node that died are dropped.
  virtual TimerId Schedule(Duration delay, std::function<void()> callback) = 0;
  /// Takes a scheduled callback back; no effect once it ran.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace millstair
