/// Reads the arguments of a subcommand in the same way everywhere.
#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

namespace millstair {

/// Exit code for arguments that can't be read.
inline constexpr int kExitBadArguments = 2;

/// Parses `arguments` (without program and subcommand name) into `values`. None if the subcommand
/// is to run; else the exit code, after the fault or, for "--help", the description was printed.
std::optional<int> ParseArguments(const std::vector<std::string>& arguments,
                                  const boost::program_options::options_description& description,
                                  boost::program_options::variables_map& values);

}  // namespace millstair
