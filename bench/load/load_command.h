/// `millstair-bench load`: open-loop load on running gateways; checks every response.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Exit codes: 0 success, 1 some responses were wrong or truncated, 2 invalid command line or
/// trace.
int RunLoadCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
