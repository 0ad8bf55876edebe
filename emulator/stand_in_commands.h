/// The subcommands of millstair-emulator.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Exit codes.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitFailed = 1;

/// Runs "engine", "plain", "store", "scorer", "machines" or "link" with its flags; the exit code.
int RunStandIn(const std::string& command, const std::vector<std::string>& flags);

/// One line for each subcommand.
std::string StandInUsage();

}  // namespace millstair
