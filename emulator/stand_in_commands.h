/// The subcommands of millstair-emulator.
#pragma once

#include <string>
#include <vector>

namespace millstair {

/// Exit codes.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitFailed = 1;

/// Runs "engine", "plain", "store", "scorer", "machines" or "link" with its flags and returns the
/// exit code.
int RunStandIn(const std::string& command, const std::vector<std::string>& flags);

/// Usage text with one line per subcommand.
std::string StandInUsage();

}  // namespace millstair
