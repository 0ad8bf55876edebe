#include "bench/experiment/experiment_runner.h"

#include <oneapi/tbb/parallel_for.h>
#include <oneapi/tbb/task_arena.h>

#include <mutex>

namespace millstair {

simulator::FleetOptions FleetOptionsFor(const ExperimentPlan& plan, const ExperimentPolicy& policy,
                                        double step_ms, uint64_t seed) {
  simulator::FleetOptions options;
  options.deployment = plan.deployment;
  options.seed = seed;
  options.length = plan.length;
  options.step_time = FromSeconds(step_ms / 1000);
  options.routing_policy = policy.routing;
  options.tail_handling = policy.tail_handling;
  options.rollouts = policy.rollouts;
  options.live.completions *= plan.live_scale;
  options.check_history = false;
  return options;
}

ExperimentMeasures ToExperimentMeasures(const simulator::FleetMeasures& measures) {
  ExperimentMeasures result;
  result.trainer_idle_share = measures.trainer_idle_share;
  result.staleness_mean = measures.staleness_mean;
  result.staleness_p95 = measures.staleness_p95;
  result.staleness_max = measures.staleness_max;
  result.live_p50_ms = measures.live_p50_ms;
  result.live_p99_ms = measures.live_p99_ms;
  result.steps_in_time_share = measures.steps_in_time_share;
  result.prefix_hit_rate = measures.prefix_hit_rate;
  result.answered = static_cast<double>(measures.answered);
  result.not_run = static_cast<double>(measures.not_run);
  result.unknown = static_cast<double>(measures.unknown);
  return result;
}

ExperimentReport RunExperiment(const ExperimentPlan& plan,
                               const std::function<void(size_t, size_t)>& progress) {
  std::vector<ExperimentRow> rows;
  std::vector<simulator::FleetOptions> runs;
  for (const ExperimentPolicy& policy : plan.policies) {
    for (const double step_ms : plan.step_ms) {
      for (uint64_t seed = 1; seed <= plan.seeds; ++seed) {
        rows.push_back({policy.name, step_ms, seed, {}});
        runs.push_back(FleetOptionsFor(plan, policy, step_ms, seed));
      }
    }
  }
  std::mutex mutex;
  size_t done = 0;
  oneapi::tbb::task_arena arena(plan.threads);
  arena.execute([&] {
    oneapi::tbb::parallel_for(size_t{0}, runs.size(), [&](size_t index) {
      const simulator::FleetResult result = simulator::RunFleet(runs[index]);
      const std::lock_guard<std::mutex> lock(mutex);
      rows[index].measures = ToExperimentMeasures(result.measures);
      progress(++done, runs.size());
    });
  });
  ExperimentReport report;
  for (ExperimentRow& row : rows) report.Add(std::move(row));
  return report;
}

}  // namespace millstair
