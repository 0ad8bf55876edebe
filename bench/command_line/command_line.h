/// Argument parsing shared by the subcommands.
#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

namespace millstair {

/// Exit code for invalid arguments.
inline constexpr int kExitBadArguments = 2;

/// Parses `arguments` (without program and subcommand name) into `values`. Returns nullopt if the
/// subcommand should run, else the exit code after printing an error or, for "--help", the options.
std::optional<int> ParseArguments(const std::vector<std::string>& arguments,
                                  const boost::program_options::options_description& description,
                                  boost::program_options::variables_map& values);

}  // namespace millstair
