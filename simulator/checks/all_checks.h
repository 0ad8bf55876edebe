/// Runs every check on one history.
#pragma once

#include <vector>

#include "simulator/checks/check_result.h"
#include "simulator/checks/fleet_checks.h"
#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair::checks {

/// Returns one result per invariant, in a fixed order.
std::vector<CheckResult> RunAllChecks(const History& history, const AgreedBounds& bounds,
                                      const TextOracle& oracle);

}  // namespace millstair::checks
