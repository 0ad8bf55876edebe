/// How much of what a back end bears while it is slow after its start falls to one node.
///
/// The platform bounds what arrives there in any second, from all nodes together. No node can count
/// what others send, so two nodes at most send at a time, whichever others there are: one gateway
/// (ColdBackendAssignment) and the leader of the batch jobs. Each keeps within half of the bound,
/// also in a second in which another one takes over from it.
#pragma once

#include <algorithm>
#include <cstdint>

namespace millstair {

/// The bound for one back end: its service's rate times `rate_factor`, and `slack` more.
struct ColdBound {
  double rate_factor = 1;
  double slack = 4;
  friend bool operator==(const ColdBound&, const ColdBound&) = default;
};

/// Nodes that may send to one such back end at a time.
inline constexpr double kConcurrentColdSenders = 2;
/// Nodes that may have done so in one second, for each of them: it, and the one before.
inline constexpr double kColdSendersPerHandover = 2;

/// A node's part.
struct ColdShare {
  double per_second = 0;
  /// At once, beyond the rate.
  double burst = 1;
};

/// `service_rate`: requests a second that the service states for such a back end.
inline ColdShare ColdShareOf(double service_rate, const ColdBound& bound) {
  const double part = (service_rate * bound.rate_factor + bound.slack) / kConcurrentColdSenders;
  ColdShare share;
  // Less than one at once would send nothing ever.
  share.burst = std::max(1.0, bound.slack / (kConcurrentColdSenders * kColdSendersPerHandover));
  share.per_second = std::max(0.0, part - kColdSendersPerHandover * share.burst);
  return share;
}

}  // namespace millstair
