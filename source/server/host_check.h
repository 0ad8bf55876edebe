/// Checks that a node can run on this machine with its settings: the listen addresses are free and
/// the data folder is usable.
#pragma once

#include <vector>

#include "common/findings.h"
#include "server/exit_code.h"
#include "settings/settings.h"

namespace millstair {

struct HostFinding {
  ExitCode code = ExitCode::kFailure;
  Finding finding;
};

/// All problems found; empty if there are none. Leaves no files or sockets behind.
std::vector<HostFinding> CheckHost(const ServerSettings& settings);

}  // namespace millstair
