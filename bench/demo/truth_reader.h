/// Reads what the emulators executed (their /truth pages) into the history.
#pragma once

#include <string>

#include "bench/demo/demo_run.h"

namespace millstair {

/// Adds the generations of the engines and the executions of the plain servers. False if an
/// emulator does not respond; `error` then names it.
bool ReadTruth(DemoRun& run, checks::History& history, std::string& error);

/// Polls an engine that is being drained and records an arrival whenever its count of accepted and
/// refused requests grows. Blocks until the run stops.
void WatchLeavingEngine(DemoRun& run, const FleetBackend& engine);

}  // namespace millstair
