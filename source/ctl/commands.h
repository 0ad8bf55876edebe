/// The commands of millstairctl.
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "ctl/control_api.h"
#include "ctl/ctl_options.h"
#include "ctl/exit_codes.h"

namespace millstair {

/// Environment of a command: API client, options, outputs and clock.
struct CommandContext {
  ControlApi& api;
  const CtlOptions& options;
  std::ostream& out;
  /// Findings and errors.
  std::ostream& err;
  std::function<void(Duration)> sleep;
  /// Time since the command began.
  std::function<Duration()> elapsed;
};

ExitCode RunCommand(CommandContext& context);

/// Prints the error and maps it to an exit code.
ExitCode ReportError(CommandContext& context, const absl::Status& status);

/// Waits until all nodes have applied `revision` or the timeout has passed.
ExitCode WaitUntilApplied(CommandContext& context, Revision revision);

}  // namespace millstair
