/// `millstair-bench scale`: measures a fleet that scripts/scale has started.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Runs the subcommand. Exit codes: 0 measured, 1 a step failed, 2 bad arguments.
int RunScaleCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
