/// The millstaird process: command line, settings, signals and one node.
#pragma once

#include <string>
#include <vector>

#include "server/exit_code.h"

namespace millstair {

/// `arguments` exclude the program name.
ExitCode RunServer(const std::vector<std::string>& arguments);

}  // namespace millstair
