/// Runs many seeds in parallel and finds, for those that fail, the smallest list of faults that
/// still fails.
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
  /// As on the command line: "default", "none" or names.
  std::string faults = "default";
  /// Worker threads; 0 takes all cores.
  int threads = 0;
  /// Failing seeds whose faults are reduced.
  uint32_t reduce = 5;
};

struct FailedSeed {
  uint64_t seed = 0;
  /// Names of the checks that are broken, with the first example.
  std::vector<std::string> broken;
  /// Smallest plan that still breaks one of the same checks; empty if it was not reduced or fails
  /// without faults.
  FaultPlan smallest;
  bool reduced = false;
};

struct SweepResult {
  uint64_t runs = 0;
  std::vector<FailedSeed> failed;
  std::map<std::string, uint64_t> faults_tried;
  /// Per check: tried and broken over all runs.
  std::map<std::string, checks::CheckResult> checks;
  double virtual_seconds = 0;
  /// Summed over threads.
  double busy_seconds = 0;
  double real_seconds = 0;
};

/// Progress goes to `progress` now and then.
SweepResult RunSweep(const SweepOptions& options, std::ostream& progress);

/// Removes faults one by one while the run still breaks one of `broken`.
FaultPlan ReduceFaults(FleetOptions options, const std::vector<std::string>& broken);

/// Names of the broken checks.
std::vector<std::string> BrokenChecks(const FleetResult& result);

/// The table that the command prints.
std::string Describe(const SweepResult& result);

}  // namespace millstair::simulator
