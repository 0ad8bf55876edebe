/// Runs the fleet once per policy, step time and seed, in virtual time and in parallel.
#pragma once

#include <functional>
#include <vector>

#include "bench/experiment/experiment_report.h"
#include "bench/experiment/policies.h"

namespace millstair {

struct ExperimentPlan {
  simulator::DeploymentName deployment = simulator::DeploymentName::kAssociation;
  std::vector<ExperimentPolicy> policies;
  /// Base step times of the engines, milliseconds.
  std::vector<double> step_ms;
  /// Seeds 1..seeds.
  uint64_t seeds = 5;
  /// Virtual time of each run.
  Duration length = std::chrono::seconds(240);
  /// Concurrent runs.
  int threads = 4;
  /// Multiplier of the live completion rate.
  double live_scale = 1.0;
};

/// The options of one run of `plan`.
simulator::FleetOptions FleetOptionsFor(const ExperimentPlan& plan, const ExperimentPolicy& policy,
                                        double step_ms, uint64_t seed);
ExperimentMeasures ToExperimentMeasures(const simulator::FleetMeasures& measures);

/// Executes `plan`. Rows are ordered by policy, step time and seed regardless of threading. Calls
/// `progress(completed runs, total runs)` on any thread, never concurrently.
ExperimentReport RunExperiment(const ExperimentPlan& plan,
                               const std::function<void(size_t, size_t)>& progress);

}  // namespace millstair
