/// `millstair-bench load`: open-loop load on running gateways, with every answer checked.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Exit codes: 0 all answers were right, 1 some were wrong or cut, 2 wrong command line or trace.
int RunLoadCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
