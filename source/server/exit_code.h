/// Exit codes of millstaird; docs/CONFIGURATION.md lists them.
#pragma once

namespace millstair {

enum class ExitCode : int {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kSettings = 3,
  kAddressTaken = 4,
  kFolderLocked = 5,
  kFolderUnusable = 6,
  kDataDamaged = 7,
  kAlreadyInitialized = 8,
};

}  // namespace millstair
