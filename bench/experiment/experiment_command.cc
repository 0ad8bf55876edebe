#include "bench/experiment/experiment_command.h"

#include <fmt/core.h>

#include <algorithm>
#include <boost/program_options.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "bench/command_line/command_line.h"
#include "bench/experiment/experiment_runner.h"

namespace millstair {
namespace {

namespace po = boost::program_options;

constexpr int kExitNotWritten = 1;
constexpr const char* kDefaultPolicies =
    "product,round-robin,least-outstanding,no-prefix,no-tail,live-only";
constexpr const char* kDefaultStepTimes = "8,15,30";
/// Approximate number of progress lines per experiment.
constexpr size_t kProgressLines = 10;

po::options_description Options() {
  po::options_description options("millstair-bench experiment");
  options.add_options()("help", "print this help")  //
      ("deployment", po::value<std::string>()->default_value("association"),
       "association or khosa")                                                                    //
      ("policies", po::value<std::string>()->default_value(kDefaultPolicies), "comma-separated")  //
      ("seeds", po::value<uint64_t>()->default_value(5), "seeds per policy and step time")        //
      ("step-ms", po::value<std::string>()->default_value(kDefaultStepTimes),
       "base step times of the engines, milliseconds, comma-separated")                //
      ("seconds", po::value<uint64_t>()->default_value(240), "virtual time of a run")  //
      ("threads", po::value<int>()->default_value(4), "concurrent runs")               //
      ("live-scale", po::value<double>()->default_value(1.0),
       "multiplier of the live completion rate")  //
      ("output", po::value<std::string>()->default_value("experiment-output"),
       "folder for results.csv, summary.dat and plot.gnuplot");
  return options;
}

absl::StatusOr<std::vector<double>> ParseStepTimes(const std::string& text) {
  std::vector<double> times;
  const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const std::string& part : parts) {
    double value = 0;
    if (!absl::SimpleAtod(part, &value) || value <= 0) {
      return absl::InvalidArgumentError(
          fmt::format("--step-ms: '{}' is not a positive number", part));
    }
    times.push_back(value);
  }
  if (times.empty()) return absl::InvalidArgumentError("--step-ms: the list is empty");
  return times;
}

absl::StatusOr<ExperimentPlan> PlanFrom(const po::variables_map& values) {
  ExperimentPlan plan;
  const auto deployment = simulator::ParseDeployment(values["deployment"].as<std::string>());
  if (!deployment.ok()) return deployment.status();
  plan.deployment = *deployment;
  auto policies = ParsePolicies(values["policies"].as<std::string>());
  if (!policies.ok()) return policies.status();
  plan.policies = *std::move(policies);
  auto step_times = ParseStepTimes(values["step-ms"].as<std::string>());
  if (!step_times.ok()) return step_times.status();
  plan.step_ms = *std::move(step_times);
  plan.seeds = values["seeds"].as<uint64_t>();
  plan.length = std::chrono::seconds(values["seconds"].as<uint64_t>());
  plan.threads = values["threads"].as<int>();
  plan.live_scale = values["live-scale"].as<double>();
  if (plan.seeds == 0 || plan.threads < 1 || plan.live_scale < 0) {
    return absl::InvalidArgumentError(
        "--seeds and --threads must be at least 1, --live-scale at least 0");
  }
  return plan;
}

void ShowProgress(size_t done, size_t total) {
  const size_t every = std::max<size_t>(1, total / kProgressLines);
  if (done % every == 0 || done == total)
    fmt::print(stderr, "{} of {} runs completed\n", done, total);
}

int RunPlan(const ExperimentPlan& plan, const std::string& folder) {
  const ExperimentReport report = RunExperiment(plan, ShowProgress);
  fmt::print("{}\n{}", report.Table(), report.VerdictLines(GoalsOf(plan.deployment)));
  const absl::Status written = report.WriteFiles(folder);
  if (!written.ok()) {
    fmt::print(stderr, "{}\n", std::string(written.message()));
    return kExitNotWritten;
  }
  fmt::print("results written to {}; run 'gnuplot plot.gnuplot' there to draw the plots\n", folder);
  return 0;
}

}  // namespace

int RunExperimentCommand(const std::vector<std::string>& arguments) {
  po::variables_map values;
  if (const auto exit_code = ParseArguments(arguments, Options(), values)) return *exit_code;
  const auto plan = PlanFrom(values);
  if (!plan.ok()) {
    fmt::print(stderr, "{}\n", std::string(plan.status().message()));
    return kExitBadArguments;
  }
  return RunPlan(*plan, values["output"].as<std::string>());
}

}  // namespace millstair
