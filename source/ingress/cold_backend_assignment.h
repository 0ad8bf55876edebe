/// Selects the one gateway that may send to a cold back end.
///
/// Each gateway computes the assignment by rendezvous hashing over the gateways of its
/// configuration. Two gateways with different configurations could both find themselves selected.
/// Therefore a gateway
/// - acts only if its configuration has been confirmed as current, with this gateway in it, for a
///   full lease,
/// - counts gateways that left within the last lease as if they were still there.
///
/// Then no two gateways act at once. Let both act at t, with configurations that were the newest at
/// a <= b, neither older than a lease. Both have been members for a lease before a and b, so both
/// are members at a. The one that ranks lower at a acts either by a, which has the other one as a
/// member, or by b, in which the other one is a member or has left within the lease and is counted.
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
  /// `lease`: how long a confirmation of the configuration is valid.
  ColdBackendAssignment(Environment& environment, NodeId self, Duration lease)
      : environment_(environment), self_(std::move(self)), lease_(lease) {}

  void Update(const Configuration& configuration);
  /// Whether this gateway may send to `subject` now. `confirmed_since`: start of the period in
  /// which the configuration has been confirmed without interruption; none while it is not
  /// confirmed.
  bool IsAssignedToSelf(std::string_view subject, std::optional<TimePoint> confirmed_since);

 private:
  void ForgetDeparted();

  Environment& environment_;
  const NodeId self_;
  const Duration lease_;
  std::set<NodeId> live_;
  /// When this gateway learned of each departure.
  std::map<NodeId, TimePoint> departed_;
  /// Computed from `live_` and `departed_`; reset when they change.
  std::optional<RendezvousNodes> candidates_;
  /// Since when this gateway has been in the configuration; none while it is not.
  std::optional<TimePoint> member_since_;
};

}  // namespace millstair
