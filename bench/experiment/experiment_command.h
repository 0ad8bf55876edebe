/// `millstair-bench experiment`: compares policies in virtual time.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Runs the subcommand with `arguments` (without program and subcommand name). Exit code: 0 done,
/// 2 bad arguments, 1 the output folder could not be written. A missed goal is reported in the
/// verdict lines and is no failure of the program.
int RunExperimentCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
