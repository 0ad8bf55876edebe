/// Runs many seeds in parallel and reduces the faults of failing runs.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "simulator/fleet/fleet.h"

namespace millstair::simulator {

struct SeedRange {
  uint64_t first = 1;
  uint64_t last = 1;
};

/// "A..B" or "A".
absl::StatusOr<SeedRange> ParseSeedRange(std::string_view text);

struct SweepOptions {
  FleetOptions fleet;
  SeedRange seeds;
  /// List in the format of `ParseFaultList`.
  std::string faults = "default";
  /// Worker threads; 0 for all cores.
  int threads = 0;
  /// Maximum number of failing seeds whose faults are reduced.
  uint32_t reduce = 5;
};

struct FailedSeed {
  uint64_t seed = 0;
  /// Names of the broken checks with their first examples.
  std::vector<std::string> broken;
  /// Reduced plan that still breaks one of the same checks; empty if it was not reduced or the run
  /// fails without faults.
  FaultPlan smallest;
  bool reduced = false;
};

struct SweepResult {
  uint64_t runs = 0;
  std::vector<FailedSeed> failed;
  std::map<std::string, uint64_t> faults_tried;
  /// Totals over all runs, by check.
  std::map<std::string, checks::CheckResult> checks;
  double virtual_seconds = 0;
  /// Sum over all threads.
  double busy_seconds = 0;
  double real_seconds = 0;
};

/// Writes progress to `progress` at intervals.
SweepResult RunSweep(const SweepOptions& options, std::ostream& progress);

/// Removes faults one at a time as long as the run still breaks one of `broken`.
FaultPlan ReduceFaults(FleetOptions options, const std::vector<std::string>& broken);

/// Names of the broken checks.
std::vector<std::string> BrokenChecks(const FleetResult& result);

/// Formats the result as the table that the command prints.
std::string Describe(const SweepResult& result);

}  // namespace millstair::simulator
