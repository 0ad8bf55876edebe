/// Reads what the stand-ins truly did (their /truth pages) into the history.
#pragma once

#include <string>

#include "bench/demo/demo_run.h"

namespace millstair {

/// Adds the engines' generations and the plain servers' executions. False if a stand-in does not
/// answer; `fault` then says which.
bool ReadTruth(DemoRun& run, checks::History& history, std::string& fault);

/// Watches an engine that is leaving: each rise of its count of requests, taken or refused, is an
/// arrival. Returns when the run stops. Call on a thread of its own.
void WatchLeavingEngine(DemoRun& run, const FleetBackend& engine);

}  // namespace millstair
