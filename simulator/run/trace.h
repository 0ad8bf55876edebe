/// Recorded traces: a fleet and its faults at given times, with the expected outcome. Stored in
/// simulator/traces/ and replayed by the tests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "simulator/fleet/fleet.h"

namespace millstair::simulator {

/// Expected outcome of a trace, in addition to no broken checks.
struct StatedOutcome {
  /// Minimum number of faults applied, by name.
  std::map<std::string, uint64_t> faults;
  /// Minimum number of cases evaluated, by name of the check.
  std::map<std::string, uint64_t> tried;
  uint64_t steps_completed = 0;
  uint64_t answered = 0;
  /// Maximum number of cut calls.
  uint64_t cut = UINT64_MAX;
  double in_force_max_ms = 1e9;
};

struct Trace {
  std::string name;
  /// Entry of the users' list of failures that the trace replays.
  std::string replays;
  FleetOptions fleet;
  StatedOutcome outcome;
};

/// Parses a trace; InvalidArgument describes the first error with its line.
absl::StatusOr<Trace> ParseTrace(const std::string& text);

/// Differences between the result of a trace and its stated outcome; empty if there are none.
std::vector<std::string> CompareOutcome(const StatedOutcome& stated, const FleetResult& result);

}  // namespace millstair::simulator
