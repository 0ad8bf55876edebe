/// Two operators that concurrently change the same resource through different control nodes.
#pragma once

#include "bench/demo/demo_run.h"

namespace millstair {

/// Reads and writes the resource until the run stops. Blocks.
void RunOperators(DemoRun& run);

}  // namespace millstair
