/// Command line of millstaird.
#pragma once

#include <string>
#include <vector>

#include "settings/settings.h"

namespace millstair {

enum class ServerMode { kRun, kCheck, kInitialize, kVersion, kHelp, kDescribeSettings };

struct CommandLine {
  ServerMode mode = ServerMode::kRun;
  /// Empty if all settings are given by flags.
  std::string settings_file;
  SettingOverrides overrides;
  /// Error in the command line; empty if it is valid.
  std::string error;
};

CommandLine ParseCommandLine(const std::vector<std::string>& arguments);
std::string HelpText();

}  // namespace millstair
