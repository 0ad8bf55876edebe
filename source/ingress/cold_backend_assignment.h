/// Which gateway alone may send to a back end, where many of them together would be too much.
///
/// Each works it out by rendezvous hashing over the gateways of the configuration that it holds.
/// Two that hold different configurations could both find themselves chosen; so a gateway
/// - acts only while its configuration is proven fresh, and has been for a whole lease with this
///   gateway in it,
/// - counts gateways that left within the last lease as if they were still there.
/// Then no two act at once: let both act at t, by configurations that were the newest at a <= b,
/// neither older than a lease. Both have been members for a lease before a and b, so both are
/// members at a. The one that ranks lower at a either acts by a, in which the other one stands, or
/// by b, in which it stands or has left within the lease and is counted.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/rendezvous.h"

namespace millstair {

/// Lives on the node's serial executor.
class ColdBackendAssignment {
 public:
  /// `lease`: for how long a proof of the configuration holds.
  ColdBackendAssignment(Environment& environment, NodeId self, Duration lease)
      : environment_(environment), self_(std::move(self)), lease_(lease) {}

  /// Takes over the gateways of `configuration`.
  void Update(const Configuration& configuration);
  /// Whether this gateway may act on `subject` now. `confirmed_since`: since when the configuration
  /// held has been proven fresh all the time; none while it is not.
  bool IsAssignedToSelf(std::string_view subject, std::optional<TimePoint> confirmed_since);

 private:
  void ForgetDeparted();

  Environment& environment_;
  const NodeId self_;
  const Duration lease_;
  std::set<NodeId> live_;
  /// When this gateway learned that each had left.
  std::map<NodeId, TimePoint> departed_;
  /// Of `live_` and `departed_`; made anew after a change.
  std::optional<RendezvousNodes> candidates_;
  /// Since when this gateway has stood in the configuration; none while it does not.
  std::optional<TimePoint> member_since_;
};

}  // namespace millstair
