/// The process millstaird: command line, settings, signals, one node.
#pragma once

#include <string>
#include <vector>

#include "server/exit_code.h"

namespace millstair {

/// Runs the program with `arguments` (without the program's name).
ExitCode RunServer(const std::vector<std::string>& arguments);

}  // namespace millstair
