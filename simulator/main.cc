/// millstair-sim: simulates fleets in virtual time and checks their histories.
#include <iostream>
#include <string>

#include "boost/program_options.hpp"
#include "common/event_log.h"
#include "fmt/format.h"
#include "simulator/fleet/fleet.h"
#include "simulator/run/show_history.h"
#include "simulator/run/sweep.h"

namespace millstair::simulator {
namespace {

namespace po = boost::program_options;

enum ExitCode { kHeld = 0, kBroken = 1, kUsage = 2 };

constexpr char kUsageText[] =
    "usage: millstair-sim run --deployment association|khosa --seed S --seconds T [--faults LIST]\n"
    "       millstair-sim sweep --deployment association|khosa --seeds A..B --seconds T\n"
    "                           [--faults LIST] [--threads N] [--reduce N]\n"
    "LIST is 'default', 'none' or names of faults separated by commas.\n";

po::options_description Options() {
  po::options_description options("options");
  options.add_options()("help", "print this")(
      "deployment", po::value<std::string>()->default_value("association"), "association or khosa")(
      "seed", po::value<uint64_t>()->default_value(1), "seed of the run")(
      "seeds", po::value<std::string>()->default_value("1..100"), "seeds of the sweep, A..B")(
      "seconds", po::value<uint32_t>()->default_value(120), "virtual seconds, 60 to 86400")(
      "faults", po::value<std::string>()->default_value("default"), "default, none or names")(
      "step-ms", po::value<double>()->default_value(15), "base time of an engine's batch step")(
      "threads", po::value<int>()->default_value(0), "worker threads of a sweep; 0 is all cores")(
      "reduce", po::value<uint32_t>()->default_value(5), "failing seeds to reduce")(
      "no-rollouts", "run live load only")(
      "show", "write the history's calls, faults and demands to standard error")(
      "log", "write the nodes' events to standard error");
  return options;
}

int Fail(const std::string& finding) {
  std::cerr << finding << "\n" << kUsageText;
  return kUsage;
}

int Run(const FleetOptions& options) {
  const FleetResult result = RunFleet(options);
  std::cout << ToJsonLine(result) << "\n";
  return result.Broken() ? kBroken : kHeld;
}

int Sweep(const SweepOptions& options) {
  const SweepResult result = RunSweep(options, std::cerr);
  std::cout << Describe(result);
  return result.failed.empty() ? kHeld : kBroken;
}

int Main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  po::variables_map values;
  try {
    po::store(po::parse_command_line(std::max(argc - 1, 1), argc > 1 ? argv + 1 : argv, Options()),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    return Fail(error.what());
  }
  if (values.contains("help") || command == "--help") {
    std::cout << kUsageText << Options();
    return kHeld;
  }
  if (!values.contains("log")) DisableEventLog();
  FleetOptions fleet;
  const auto deployment = ParseDeployment(values["deployment"].as<std::string>());
  if (!deployment.ok()) return Fail(std::string(deployment.status().message()));
  constexpr uint32_t kMinSeconds = 60;
  constexpr uint32_t kMaxSeconds = 86400;
  const uint32_t seconds = values["seconds"].as<uint32_t>();
  if (seconds < kMinSeconds || seconds > kMaxSeconds) return Fail("--seconds is not in 60..86400");
  const double step_ms = values["step-ms"].as<double>();
  if (step_ms < 0.1 || step_ms > 10000) return Fail("--step-ms is not in 0.1..10000");
  fleet.deployment = *deployment;
  fleet.seed = values["seed"].as<uint64_t>();
  fleet.length = std::chrono::seconds(seconds);
  fleet.step_time = FromSeconds(step_ms / 1000);
  fleet.rollouts = !values.contains("no-rollouts");
  const std::string faults = values["faults"].as<std::string>();
  const auto plan = ParseFaultList(faults, fleet.seed, fleet.length);
  if (!plan.ok()) return Fail(std::string(plan.status().message()));
  fleet.faults = *plan;
  if (values.contains("show")) {
    fleet.inspect = [](const checks::History& history) { ShowHistory(history, std::cerr); };
  }
  if (command == "run") return Run(fleet);
  if (command != "sweep") return Fail("missing or unknown command: expected run or sweep");
  const auto seeds = ParseSeedRange(values["seeds"].as<std::string>());
  if (!seeds.ok()) return Fail(std::string(seeds.status().message()));
  return Sweep({.fleet = fleet,
                .seeds = *seeds,
                .faults = faults,
                .threads = values["threads"].as<int>(),
                .reduce = values["reduce"].as<uint32_t>()});
}

}  // namespace
}  // namespace millstair::simulator

int main(int argc, char** argv) { return millstair::simulator::Main(argc, argv); }
