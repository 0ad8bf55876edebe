/// Commands on resources: apply, get, delete, diff, validate, drain, undrain.
#pragma once

#include "ctl/commands.h"

namespace millstair {

ExitCode RunApply(CommandContext& context);
ExitCode RunGet(CommandContext& context);
ExitCode RunDelete(CommandContext& context);
ExitCode RunDiff(CommandContext& context);
ExitCode RunValidate(CommandContext& context);
/// Sets `drain` on Machines and Engines.
ExitCode RunDrain(CommandContext& context, bool drain);

}  // namespace millstair
