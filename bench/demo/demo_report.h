/// Summary tables of a demo run.
#pragma once

#include <string>
#include <vector>

#include "bench/demo/live_traffic.h"
#include "bench/demo/trainer.h"
#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair {

/// One row per check with the numbers tried, held and broken, followed by the first violations.
std::string CheckTable(const std::vector<checks::CheckResult>& results);

/// Trainer idle share, staleness, live p50 and p99, and outcomes of calls.
std::string MeasureTable(const checks::History& history, const TrainerReport& trainer,
                         const LiveLatencies& latencies);

/// True if every check was tried and none was broken or undecided.
bool AllHeld(const std::vector<checks::CheckResult>& results);

}  // namespace millstair
