/// Two operators who change the same resource at the same time, through different control nodes.
#pragma once

#include "bench/demo/demo_run.h"

namespace millstair {

/// Changes and reads until the run stops. Blocks.
void RunOperators(DemoRun& run);

}  // namespace millstair
