/// Recorded traces: a fleet, its load and the faults at stated times, with the outcome that must
/// come of it. Kept under simulator/traces/ and replayed by the tests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "simulator/fleet/fleet.h"

namespace millstair::simulator {

/// What a trace must lead to, besides that no check is broken.
struct StatedOutcome {
  /// Faults that must have come about, by name.
  std::map<std::string, uint64_t> faults;
  /// Cases that a check must at least have tried, by its name.
  std::map<std::string, uint64_t> tried;
  uint64_t steps_completed = 0;
  uint64_t answered = 0;
  /// Largest allowed.
  uint64_t cut = UINT64_MAX;
  double in_force_max_ms = 1e9;
};

struct Trace {
  std::string name;
  /// The line of the users' list of failures that it replays.
  std::string replays;
  FleetOptions fleet;
  StatedOutcome outcome;
};

/// Reads a trace; InvalidArgument names line and fault of the first error.
absl::StatusOr<Trace> ParseTrace(const std::string& text);

/// Differences between what came of the trace and what it states; empty if there are none.
std::vector<std::string> CompareOutcome(const StatedOutcome& stated, const FleetResult& result);

}  // namespace millstair::simulator
