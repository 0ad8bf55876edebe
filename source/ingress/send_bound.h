/// Bounds how often one request is sent, so that refusals are not answered with a flood of sends.
#pragma once

#include <algorithm>

#include "common/random.h"
#include "ingress/route_table.h"

namespace millstair {

/// Sends of one request beyond the back ends that may run it. They cover refusals: with four, a
/// request survives the drain or restart of a few back ends at once.
inline constexpr uint32_t kExtraSends = 4;

inline uint32_t MaxSends(const Route& route) { return route.attempts + kExtraSends; }

/// Pauses of one request before back ends that refused or failed are tried again. Their bound
/// doubles each time; they are drawn at random below it to spread the sends.
class SendPauses {
 public:
  Duration Next(RandomEngine& random) {
    const Duration pause = DrawDuration(random, kMin, bound_);
    bound_ = std::min(bound_ * 2, kMax);
    return pause;
  }

 private:
  static constexpr Duration kMin = std::chrono::milliseconds(10);
  static constexpr Duration kMax = std::chrono::milliseconds(40);
  Duration bound_ = kMin;
};

}  // namespace millstair
