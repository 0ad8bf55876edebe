#include "bench/demo/demo_command.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "bench/demo/demo_report.h"
#include "bench/demo/demo_run.h"
#include "bench/demo/fault_script.h"
#include "bench/demo/live_traffic.h"
#include "bench/demo/node_probe.h"
#include "bench/demo/operators.h"
#include "bench/demo/trainer.h"
#include "bench/demo/truth_reader.h"
#include "fmt/format.h"
#include "fmt/ostream.h"
#include "simulator/checks/all_checks.h"

namespace millstair {
namespace {

namespace po = boost::program_options;

constexpr int kCheckFailed = 1;
constexpr int kUsageError = 2;
/// Upper bound on a run, even if the script never sends "finish".
constexpr Duration kMaxRunTime = std::chrono::minutes(10);
constexpr Duration kStartupTimeout = std::chrono::seconds(30);
constexpr Duration kTrainerGrace = std::chrono::seconds(30);

checks::AgreedBounds Bounds() {
  checks::AgreedBounds bounds;
  bounds.recovery = std::chrono::seconds(12);
  return bounds;
}

/// Waits until the fleet serves a completion, so that the load starts on a fleet that is up.
bool WaitForFirstCompletion(DemoRun& run) {
  LiveCall call;
  call.kind = checks::CallKind::kCompletion;
  call.model = run.fleet().model;
  call.prompt = "is anyone there";
  call.max_tokens = 4;
  call.timeout = std::chrono::seconds(5);
  while (run.clock().Now() < kStartupTimeout) {
    call.attempt_id = fmt::format("first-{}", run.clock().Now().count());
    const checks::CallAttempt record = SendCall(run.caller(), run.PickGateway(), call, run.clock());
    if (record.end == checks::CallEnd::kComplete) return true;
    run.Sleep(std::chrono::milliseconds(200));
  }
  return false;
}

/// Runs the workload while the fault script is executed. False if the script failed.
bool RunWorkload(DemoRun& run, Trainer& trainer, LiveLatencies& latencies) {
  std::thread traffic([&] { RunLiveTraffic(run, kMaxRunTime, latencies); });
  std::thread operators([&] { RunOperators(run); });
  std::thread training([&] { trainer.Run(kTrainerGrace); });
  FaultScript script(run);
  std::string failed_command;
  const bool succeeded = script.Run(std::cin, failed_command);
  if (!succeeded) fmt::print(stderr, "fault script failed at command '{}'\n", failed_command);
  run.Record([&](checks::History& history) { history.end = run.clock().Now(); });
  run.Stop();
  traffic.join();
  operators.join();
  training.join();
  return succeeded;
}

bool CheckAndPrint(DemoRun& run, const Trainer& trainer, const LiveLatencies& latencies) {
  checks::History history = run.TakeHistory();
  history.streams.push_back(
      {StreamName(run.fleet().stream), ModelName(run.fleet().model), run.fleet().staleness_bound});
  std::string error;
  if (!ReadTruth(run, history, error)) {
    fmt::print("{}\n", error);
    return false;
  }
  const std::vector<checks::CheckResult> results =
      checks::RunAllChecks(history, Bounds(), EngineOracle());
  fmt::print("\n{}\n{}\n", CheckTable(results), MeasureTable(history, trainer.report(), latencies));
  const bool held = AllHeld(results);
  fmt::print("{}\n", held ? "every check held" : "NOT every check held");
  return held;
}

int RunDemo(FleetFile fleet) {
  DemoRun run(std::move(fleet));
  std::thread probe([&run] { ProbeNodes(run); });
  LiveLatencies latencies;
  Trainer trainer(run);
  run.Sleep(std::chrono::milliseconds(500));
  const bool up = trainer.PublishInitialVersion(kStartupTimeout) && WaitForFirstCompletion(run);
  if (!up) fmt::print("the fleet did not accept weights and serve a completion in time\n");
  const bool driven = up && RunWorkload(run, trainer, latencies);
  run.Stop();
  probe.join();
  const bool held = up && CheckAndPrint(run, trainer, latencies);
  return driven && held ? 0 : kCheckFailed;
}

}  // namespace

int RunDemoCommand(const std::vector<std::string>& arguments) {
  po::options_description description("millstair-bench demo");
  description.add_options()("help", "print this page")("fleet", po::value<std::string>(),
                                                       "fleet file (deploy/*/fleet.yaml)");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(description).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kUsageError;
  }
  if (values.count("help") > 0 || values.count("fleet") == 0) {
    fmt::print(stderr, "{}", fmt::streamed(description));
    return values.count("help") > 0 ? 0 : kUsageError;
  }
  const std::string path = values["fleet"].as<std::string>();
  std::ifstream stream(path);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  Findings findings;
  FleetFile fleet = ParseFleetFile(path, text, findings);
  if (!findings.empty()) {
    fmt::print(stderr, "{}", findings.ToString());
    return kUsageError;
  }
  return RunDemo(std::move(fleet));
}

}  // namespace millstair
