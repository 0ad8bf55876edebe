/// `millstair-bench demo`: drives a running fleet, checks it and prints the closing table.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Exit codes: 0 every check held, 1 one is broken, 2 wrong command line or fleet file.
int RunDemoCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
