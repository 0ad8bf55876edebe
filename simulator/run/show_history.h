/// Writes a history as text, one line per record, for the analysis of failures.
#pragma once

#include <ostream>

#include "simulator/checks/history.h"

namespace millstair::simulator {

/// Writes faults, incomplete calls, demands, operators' changes and trainers' reads.
void ShowHistory(const checks::History& history, std::ostream& out);

}  // namespace millstair::simulator
