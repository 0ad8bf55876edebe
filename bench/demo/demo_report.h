/// The closing table of the demo.
#pragma once

#include <string>
#include <vector>

#include "bench/demo/live_traffic.h"
#include "bench/demo/trainer.h"
#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair {

/// One row per check: tried, held, broken; first examples below.
std::string CheckTable(const std::vector<checks::CheckResult>& results);

/// Trainer idle share, staleness, live p50 and p99, and how calls ended.
std::string MeasureTable(const checks::History& history, const TrainerReport& trainer,
                         const LiveLatencies& latencies);

/// Each check held, and each had something to try.
bool AllHeld(const std::vector<checks::CheckResult>& results);

}  // namespace millstair
