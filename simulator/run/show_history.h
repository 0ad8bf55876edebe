/// Writes a history as text, one line a record, for people who look for the cause of a failure.
#pragma once

#include <ostream>

#include "simulator/checks/history.h"

namespace millstair::simulator {

/// Writes faults, incomplete calls, demands, operators' changes and trainers' reads.
void ShowHistory(const checks::History& history, std::ostream& out);

}  // namespace millstair::simulator
