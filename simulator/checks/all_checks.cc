#include "simulator/checks/all_checks.h"

#include "simulator/checks/call_checks.h"
#include "simulator/checks/linearizability.h"

namespace millstair::checks {

std::vector<CheckResult> RunAllChecks(const History& history, const AgreedBounds& bounds,
                                      const TextOracle& oracle) {
  return {
      CheckClaimedVersions(history),
      CheckSampleText(history, oracle),
      CheckStaleness(history),
      CheckExactlyOnce(history),
      CheckCompleteOwnAnswer(history, oracle),
      CheckNotRunClaims(history),
      CheckOutcomeStated(history),
      CheckAtMostOnce(history),
      CheckNoNewWorkToLeaving(history, bounds),
      CheckPlannedStops(history),
      CheckConfiguration(history, bounds),
      CheckLinearizability(history.resource_operations),
      CheckLiveness(history, bounds),
  };
}

}  // namespace millstair::checks
