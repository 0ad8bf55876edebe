/// `millstair-bench hollow`: hosts hollow nodes until it is told to stop.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Runs the subcommand. Exit codes: 0 stopped in order, 1 a node could not start, 2 bad arguments.
int RunHollowCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
