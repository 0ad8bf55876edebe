/// Linearizability of operations on resources.
///
/// Each resource is a register with compare-and-set that stores a value and its version. The
/// search is Wing and Gong's with Lowe's memory of visited states: it looks for an order of the
/// operations that agrees with real time and with every answer. Operations whose outcome is
/// unknown may take effect at any moment after they were sent, or never.
#pragma once

#include <vector>

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair::checks {

struct LinearizabilityLimits {
  /// States visited per resource before the check gives up ("undecided").
  uint64_t max_states = 2'000'000;
};

/// One case per resource. A value that shows up under two versions (a resend that took effect
/// twice) and a value of a refused change that shows up at all are breaches by themselves.
CheckResult CheckLinearizability(const std::vector<ResourceOperation>& operations,
                                 const LinearizabilityLimits& limits = {});

}  // namespace millstair::checks
