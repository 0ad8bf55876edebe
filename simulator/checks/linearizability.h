/// Linearizability of operations on resources.
///
/// Each resource is modelled as a compare-and-set register that stores a value and its version.
/// The Wing-Gong search, with Lowe's cache of visited states, looks for an order of the operations
/// that is consistent with real time and with every reply. Operations whose outcome is unknown may
/// take effect at any time after they were sent, or never.
#pragma once

#include <vector>

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair::checks {

struct LinearizabilityLimits {
  /// States visited per resource before the result is undecided.
  uint64_t max_states = 2'000'000;
};

/// One case per resource. Two further violations are detected without a search: a value stored
/// under two versions (a resend that took effect twice) and a stored value of a refused change.
CheckResult CheckLinearizability(const std::vector<ResourceOperation>& operations,
                                 const LinearizabilityLimits& limits = {});

}  // namespace millstair::checks
