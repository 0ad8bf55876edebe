/// The commands of millstairctl.
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "ctl/control_api.h"
#include "ctl/ctl_options.h"
#include "ctl/exit_codes.h"

namespace millstair {

/// Where a command writes and how it waits.
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

/// Writes the error and maps it to an exit code.
ExitCode ReportError(CommandContext& context, const absl::Status& status);

/// Waits until no node lacks `revision`, or the timeout has passed.
ExitCode WaitUntilApplied(CommandContext& context, Revision revision);

}  // namespace millstair
