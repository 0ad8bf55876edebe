/// Checks of back ends that leave, planned stops, configuration and liveness.
#pragma once

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair::checks {

/// Bounds that the users agreed; all in true time.
struct AgreedBounds {
  /// New work to a back end that operators drain or that said itself that it leaves.
  Duration leaving = std::chrono::seconds(6);
  /// The same for the platform's list, which is polled first.
  Duration leaving_by_list = std::chrono::seconds(12);
  /// An accepted configuration on all nodes that give out new work.
  Duration in_force = std::chrono::seconds(6);
  /// The same on all reachable nodes while no fault is at work.
  Duration in_force_undisturbed = std::chrono::seconds(3);
  /// Everything asked is done this long after the last fault was healed.
  Duration recovery = std::chrono::seconds(30);
  /// Share of calls sent after recovery that must complete.
  double recovered_share = 0.95;
};

/// After the bound, nothing new arrives at a back end that leaves.
CheckResult CheckNoNewWorkToLeaving(const History& history, const AgreedBounds& bounds);

/// Planned stops cut nothing: no call was open when a drained process ended, and no call broke off
/// or lost its answer while planned stops were all that happened.
CheckResult CheckPlannedStops(const History& history);

/// Nodes never go back to a smaller revision, also over restarts (where a node that is ready
/// counts); and a node that gives out new work holds everything accepted before the bound.
CheckResult CheckConfiguration(const History& history, const AgreedBounds& bounds);

/// Everything asked for is done in time once faults are healed, calls sent after recovery complete,
/// each gateway that runs is ready from then on, and a run that completes no call at all fails.
CheckResult CheckLiveness(const History& history, const AgreedBounds& bounds);

}  // namespace millstair::checks
