/// One node's share of the requests that a cold back end can handle.
///
/// The platform limits the requests that arrive there in any second from all nodes together. No
/// node can count what others send, so at most two nodes send at a time: one gateway
/// (ColdBackendAssignment) and the leader of the batch jobs. Each stays within half of the limit,
/// even in a second in which another node takes over from it.
#pragma once

#include <algorithm>
#include <cstdint>

namespace millstair {

/// The limit for one back end: its service's rate times `rate_factor`, plus `slack`.
struct ColdBound {
  double rate_factor = 1;
  double slack = 4;
  friend bool operator==(const ColdBound&, const ColdBound&) = default;
};

/// Nodes that may send to one cold back end at a time.
inline constexpr double kConcurrentColdSenders = 2;
/// Nodes per sender within one second: the sender and the one that it replaced.
inline constexpr double kColdSendersPerHandover = 2;

/// One node's share.
struct ColdShare {
  double per_second = 0;
  /// Requests beyond the rate that may be sent at once.
  double burst = 1;
};

/// `service_rate`: requests per second that a cold back end of the service can handle.
inline ColdShare ColdShareOf(double service_rate, const ColdBound& bound) {
  const double part = (service_rate * bound.rate_factor + bound.slack) / kConcurrentColdSenders;
  ColdShare share;
  // With less than one, nothing would ever be sent.
  share.burst = std::max(1.0, bound.slack / (kConcurrentColdSenders * kColdSendersPerHandover));
  share.per_second = std::max(0.0, part - kColdSendersPerHandover * share.burst);
  return share;
}

}  // namespace millstair
