#include "simulator/fleet/fleet.h"

#include <algorithm>

#include "boost/json.hpp"
#include "emulator/model/generated_text.h"
#include "simulator/checks/all_checks.h"
#include "simulator/faults/fault_driver.h"
#include "simulator/fleet/world.h"

namespace millstair::simulator {
namespace {

/// Measurements exclude the start-up.
constexpr Duration kMeasurementStart = std::chrono::seconds(10);

checks::TextOracle MakeTextOracle() {
  checks::TextOracle oracle;
  oracle.token_text = [](const std::string& prompt, uint32_t token, WeightVersion version) {
    return TokenText(prompt, token, version);
  };
  oracle.generation_length = [](const std::string& prompt, uint32_t max_tokens) {
    return GenerationLength(prompt, max_tokens);
  };
  return oracle;
}

/// Quantile of `values` at `share` by nearest rank; 0 if there are no values.
double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<size_t>(share * static_cast<double>(values.size() - 1) + 0.5);
  return values[std::min(rank, values.size() - 1)];
}

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1000; }

void MeasureCalls(const checks::History& history, FleetMeasures& measures) {
  std::vector<double> latencies;
  std::vector<double> first;
  for (const checks::CallAttempt& call : history.calls) {
    if (call.sent < kMeasurementStart) continue;
    measures.answered += call.end == checks::CallEnd::kComplete ? 1 : 0;
    measures.cut += call.end == checks::CallEnd::kCut ? 1 : 0;
    measures.unanswered += call.end == checks::CallEnd::kUnanswered ? 1 : 0;
    measures.not_run += call.outcome == checks::ClaimedOutcome::kNotRun ? 1 : 0;
    measures.unknown += call.outcome == checks::ClaimedOutcome::kUnknown ? 1 : 0;
    const bool completion = call.kind == checks::CallKind::kCompletion;
    if (!completion || call.end != checks::CallEnd::kComplete) continue;
    latencies.push_back(Milliseconds(*call.ended - call.sent));
    first.push_back(Milliseconds(*call.first_byte - call.sent));
  }
  measures.live_p50_ms = Quantile(latencies, 0.5);
  measures.live_p99_ms = Quantile(latencies, 0.99);
  measures.live_first_token_p50_ms = Quantile(first, 0.5);
  measures.live_first_token_p99_ms = Quantile(first, 0.99);
}

void MeasureTrainers(World& world, FleetMeasures& measures) {
  Duration waited{0};
  Duration worked{0};
  uint64_t in_time = 0;
  std::vector<double> staleness;
  for (const auto& trainer : world.trainers()) {
    const TrainerRecord& record = trainer->record();
    waited += record.waited;
    worked += record.worked;
    measures.steps_completed += record.steps_completed;
    in_time += record.steps_in_time;
    measures.samples_withdrawn += record.withdrawn;
    for (const uint64_t age : record.staleness) staleness.push_back(static_cast<double>(age));
  }
  measures.samples_received = staleness.size();
  if (waited + worked > Duration(0)) {
    measures.trainer_idle_share = ToSeconds(waited) / ToSeconds(waited + worked);
  }
  if (measures.steps_completed > 0) {
    measures.steps_in_time_share =
        static_cast<double>(in_time) / static_cast<double>(measures.steps_completed);
  }
  double sum = 0;
  for (const double age : staleness) sum += age;
  if (!staleness.empty()) measures.staleness_mean = sum / static_cast<double>(staleness.size());
  measures.staleness_p95 = Quantile(staleness, 0.95);
  measures.staleness_max = Quantile(staleness, 1);
}

FleetMeasures Measure(World& world) {
  FleetMeasures measures;
  MeasureCalls(world.history(), measures);
  MeasureTrainers(world, measures);
  uint64_t reused = 0;
  uint64_t missed = 0;
  for (const auto& engine : world.engines()) {
    reused += engine->model().counts().prefix_blocks_reused;
    missed += engine->model().counts().prefix_blocks_missed;
  }
  if (reused + missed > 0) {
    measures.prefix_hit_rate = static_cast<double>(reused) / static_cast<double>(reused + missed);
  }
  std::vector<double> in_force;
  for (const Duration time : world.in_force_times()) in_force.push_back(Milliseconds(time));
  measures.in_force_p50_ms = Quantile(in_force, 0.5);
  measures.in_force_max_ms = Quantile(in_force, 1);
  return measures;
}

boost::json::object MeasuresJson(const FleetMeasures& measures) {
  return {{"trainer_idle_share", measures.trainer_idle_share},
          {"staleness_mean", measures.staleness_mean},
          {"staleness_p95", measures.staleness_p95},
          {"staleness_max", measures.staleness_max},
          {"live_p50_ms", measures.live_p50_ms},
          {"live_p99_ms", measures.live_p99_ms},
          {"live_first_token_p50_ms", measures.live_first_token_p50_ms},
          {"live_first_token_p99_ms", measures.live_first_token_p99_ms},
          {"steps_in_time_share", measures.steps_in_time_share},
          {"steps_whole", measures.steps_completed},
          {"samples_received", measures.samples_received},
          {"samples_withdrawn", measures.samples_withdrawn},
          {"prefix_hit_rate", measures.prefix_hit_rate},
          {"answered", measures.answered},
          {"not_run", measures.not_run},
          {"unknown", measures.unknown},
          {"cut", measures.cut},
          {"unanswered", measures.unanswered},
          {"in_force_p50_ms", measures.in_force_p50_ms},
          {"in_force_max_ms", measures.in_force_max_ms}};
}

}  // namespace

bool FleetResult::Broken() const {
  return std::any_of(checks.begin(), checks.end(),
                     [](const checks::CheckResult& check) { return check.broken > 0; });
}

FleetResult RunFleet(const FleetOptions& options) {
  World world(options);
  FaultDriver faults(world);
  world.Start();
  faults.Start();
  world.RunUntil(options.length);
  world.CloseHistory();
  if (options.inspect) options.inspect(world.history());
  FleetResult result;
  result.deployment = options.deployment;
  result.seed = options.seed;
  if (options.check_history) {
    result.checks = checks::RunAllChecks(world.history(), {}, MakeTextOracle());
  }
  result.measures = Measure(world);
  result.faults_tried = faults.tried();
  result.virtual_time = world.scheduler().Now();
  result.events = world.scheduler().events_run();
  return result;
}

std::string ToJsonLine(const FleetResult& result) {
  boost::json::object checks;
  for (const checks::CheckResult& check : result.checks) {
    boost::json::object one{{"tried", check.tried}, {"broken", check.broken}};
    if (check.undecided > 0) one["undecided"] = check.undecided;
    if (check.broken > 0) one["first"] = check.first_example;
    checks[check.name] = std::move(one);
  }
  boost::json::object faults;
  for (const auto& [name, count] : result.faults_tried) faults[name] = count;
  const std::string_view deployment = Name(result.deployment);
  return boost::json::serialize(boost::json::object{
      {"deployment", boost::json::string_view(deployment.data(), deployment.size())},
      {"seed", result.seed},
      {"seconds", ToSeconds(result.virtual_time)},
      {"broken", result.Broken()},
      {"checks", std::move(checks)},
      {"faults", std::move(faults)},
      {"measures", MeasuresJson(result.measures)}});
}

}  // namespace millstair::simulator
