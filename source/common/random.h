/// Random draws from a node's engine, identical on all machines for the same seed.
#pragma once

#include <cstdint>

#include "common/environment.h"

namespace millstair {

/// Uniform in [0, bound); 0 if `bound` is 0.
inline uint64_t DrawBelow(RandomEngine& random, uint64_t bound) {
  if (bound == 0) return 0;
  return random() % bound;
}

/// Uniform in [0, 1).
inline double DrawUnit(RandomEngine& random) {
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
  return static_cast<double>(random() >> 11) * kScale;
}

/// True with probability `probability`.
inline bool DrawChance(RandomEngine& random, double probability) {
  return DrawUnit(random) < probability;
}

/// Uniform in [low, high]; `low` if the range is empty.
inline Duration DrawDuration(RandomEngine& random, Duration low, Duration high) {
  if (high <= low) return low;
  const auto span = static_cast<uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<Duration::rep>(DrawBelow(random, span)));
}

}  // namespace millstair
