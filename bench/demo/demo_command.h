/// `millstair-bench demo`: runs a workload on a running fleet, checks the recorded history and
/// prints a summary.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Exit codes: 0 all checks held, 1 the run or a check failed, 2 invalid command line or fleet
/// file.
int RunDemoCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
