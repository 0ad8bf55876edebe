/// Tests whether this machine lets a node run with its settings: addresses free, data folder
/// usable.
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

/// All that stands in the way; empty if nothing does. Leaves the machine as it was.
std::vector<HostFinding> CheckHost(const ServerSettings& settings);

}  // namespace millstair
