/// Runs every check over one history.
#pragma once

#include <vector>

#include "simulator/checks/check_result.h"
#include "simulator/checks/fleet_checks.h"
#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair::checks {

/// Results in a fixed order, one per invariant.
std::vector<CheckResult> RunAllChecks(const History& history, const AgreedBounds& bounds,
                                      const TextOracle& oracle);

}  // namespace millstair::checks
