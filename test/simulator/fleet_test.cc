/// Simulated fleets: fixed seeds of both deployments, and the recorded traces.
#include "simulator/fleet/fleet.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>

#include "common/event_log.h"
#include "simulator/run/sweep.h"
#include "simulator/run/trace.h"
#include "tbb/parallel_for_each.h"

namespace millstair::simulator {
namespace {

struct Replayed {
  std::string name;
  std::vector<std::string> differences;
};

std::vector<Trace> ReadTraces() {
  std::vector<Trace> traces;
  const std::filesystem::path folder =
      std::filesystem::path(MILLSTAIR_SOURCE_DIR) / "simulator" / "traces";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path());
    std::stringstream text;
    text << file.rdbuf();
    traces.push_back(ParseTrace(text.str()).value());
  }
  return traces;
}

}  // namespace

TEST_CASE("A run without faults breaks no check and completes all calls", "[simulator]") {
  DisableEventLog();
  for (const DeploymentName deployment : {DeploymentName::kAssociation, DeploymentName::kKhosa}) {
    FleetOptions options;
    options.deployment = deployment;
    options.length = std::chrono::seconds(60);
    const FleetResult result = RunFleet(options);
    INFO(ToJsonLine(result));
    CHECK_FALSE(result.Broken());
    for (const checks::CheckResult& check : result.checks) CHECK(check.undecided == 0);
    CHECK(result.measures.steps_completed >= 4);
    CHECK(result.measures.answered > 400);
    CHECK(result.measures.cut == 0);
    CHECK(result.measures.unanswered == 0);
    CHECK(result.measures.in_force_max_ms < 3000);
  }
}

TEST_CASE("Runs with the same seed give identical results", "[simulator]") {
  DisableEventLog();
  FleetOptions options;
  options.seed = 5;
  options.length = std::chrono::seconds(60);
  options.faults = DrawDefaultFaults(options.seed, options.length);
  CHECK(ToJsonLine(RunFleet(options)) == ToJsonLine(RunFleet(options)));
}

namespace {

/// Runs seeds 1 to 8 of both deployments under `faults`.
void CheckFixedSeeds(const std::string& faults, Duration length) {
  DisableEventLog();
  for (const DeploymentName deployment : {DeploymentName::kAssociation, DeploymentName::kKhosa}) {
    SweepOptions options;
    options.fleet.deployment = deployment;
    options.fleet.length = length;
    options.faults = faults;
    options.seeds = {1, 8};
    options.threads = 4;
    std::stringstream progress;
    const SweepResult result = RunSweep(options, progress);
    INFO(Describe(result));
    CHECK(result.failed.empty());
  }
}

}  // namespace

TEST_CASE("Fixed seeds hold under the default faults", "[simulator]") {
  CheckFixedSeeds("default", std::chrono::seconds(120));
}

/// Guards against confirmations and records that depend on the order of incarnations: after clock
/// steps, a gateway then is not ready at the end.
TEST_CASE("Fixed seeds hold under clocks that jump and machines that are suspended",
          "[simulator]") {
  CheckFixedSeeds("clock-step,clock-step,suspension,suspension,gateway-crash,control-crash",
                  std::chrono::seconds(100));
}

TEST_CASE("Seeds that once failed hold", "[simulator]") {
  struct FailedOnce {
    std::string cause;
    DeploymentName deployment;
    uint64_t seed;
    std::string faults;
  };
  const std::vector<FailedOnce> all{
      {"two drains of one engine, the first taken back in the second", DeploymentName::kKhosa, 1025,
       "operator-drain@25138118+15371003/10239220262459636001,"
       "operator-drain@30833588+12516365/9185505745105198722"},
      {"an engine crashes in its drain and comes back without it", DeploymentName::kAssociation,
       128,
       "engine-crash@21768908+2810317/9617324873987922348,"
       "engine-drain@13678901+19205642/18442532546373854325"},
      {"operators reuse a number of a session that another change opened", DeploymentName::kKhosa,
       27,
       "long-restart@28721316+27767149/2546815646204611175,"
       "long-restart@28344784+24174763/8859046800078504200"},
      {"an engine is told to drain while it is down", DeploymentName::kAssociation, 7310431,
       "engine-crash@44693194+7637491/9548622360386168383,"
       "engine-drain@44693194+9873199/16451162671439767696"},
      {"a trainer that restarts while it trains forgets a step that it put ahead",
       DeploymentName::kAssociation, 99,
       "gateway-crash@12294463+9257888/10137698294894685006,"
       "trainer-restart@13664169+2856816/11693299770507990027"},
      {"orders to an engine that drains", DeploymentName::kAssociation, 1,
       "engine-drain@43061575+16311631/1663029164570278905"},
  };
  DisableEventLog();
  for (const FailedOnce& one : all) {
    INFO(one.cause);
    FleetOptions options;
    options.deployment = one.deployment;
    options.seed = one.seed;
    options.faults = ParseFaultList(one.faults, one.seed, options.length).value();
    const FleetResult result = RunFleet(options);
    INFO(ToJsonLine(result));
    CHECK_FALSE(result.Broken());
  }
}

TEST_CASE("Recorded traces come to their stated outcome", "[simulator][traces]") {
  DisableEventLog();
  std::mutex mutex;
  std::vector<Replayed> replayed;
  const std::vector<Trace> traces = ReadTraces();
  tbb::parallel_for_each(traces, [&](const Trace& trace) {
    Replayed one{trace.name, CompareOutcome(trace.outcome, RunFleet(trace.fleet))};
    const std::lock_guard lock(mutex);
    replayed.push_back(std::move(one));
  });
  for (const Replayed& one : replayed) {
    INFO(one.name);
    CHECK(one.differences == std::vector<std::string>{});
  }
}

}  // namespace millstair::simulator
