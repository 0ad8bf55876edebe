/// Checks of leaving back ends, planned stops, configuration and liveness.
#pragma once

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair::checks {

/// Bounds agreed with the users, in true time.
struct AgreedBounds {
  /// Time until new work stops at a back end that operators drain or that reports itself leaving.
  Duration leaving = std::chrono::seconds(6);
  /// The same for a back end marked in the platform's machine list, which has to be polled.
  Duration leaving_by_list = std::chrono::seconds(12);
  /// Time until all nodes that assign new work have applied an accepted configuration.
  Duration in_force = std::chrono::seconds(6);
  /// The same for all reachable nodes while no fault is active.
  Duration in_force_undisturbed = std::chrono::seconds(3);
  /// Time until pending demands are done after the last fault was healed.
  Duration recovery = std::chrono::seconds(30);
  /// Share of calls sent after recovery that must complete.
  double recovered_share = 0.95;
};

/// No new work arrives at a leaving back end after the bound.
CheckResult CheckNoNewWorkToLeaving(const History& history, const AgreedBounds& bounds);

/// Planned stops interrupt no calls: no call was open when a drained process exited, and no call
/// was cut or unanswered while planned stops were the only faults.
CheckResult CheckPlannedStops(const History& history);

/// A node's revision never decreases: within an incarnation at any time, across restarts while it
/// is ready. A node that assigns new work has applied every revision accepted before the bound.
CheckResult CheckConfiguration(const History& history, const AgreedBounds& bounds);

/// Once faults are healed and recovery is over, demands are done in time, calls complete and each
/// running gateway is ready. A run in which no call completes at all is a violation.
CheckResult CheckLiveness(const History& history, const AgreedBounds& bounds);

}  // namespace millstair::checks
