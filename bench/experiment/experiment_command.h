/// `millstair-bench experiment`: compares policies in virtual time.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Runs the subcommand with `arguments` (without program and subcommand name). Exit code: 0 done,
/// 1 the output folder could not be written, 2 invalid arguments. A missed goal is reported in the
/// verdict lines only; it does not change the exit code.
int RunExperimentCommand(const std::vector<std::string>& arguments);

}  // namespace millstair
