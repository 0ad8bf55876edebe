#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "bench/demo/demo_report.h"
#include "bench/demo/demo_run.h"
#include "bench/demo/fault_script.h"
#include "bench/demo/fleet_file.h"
#include "bench/demo/node_probe.h"
#include "ctl/resource_files.h"
#include "resources/resource_references.h"

namespace millstair {
namespace {

std::string ReadSourceFile(const std::string& path) {
  std::ifstream stream(std::string(MILLSTAIR_SOURCE_DIR) + "/" + path);
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

TEST_CASE("resources and fleet files of both deployments are valid and consistent") {
  for (const std::string deployment : {"association", "khosa"}) {
    INFO(deployment);
    Findings findings;
    const std::string root = "deploy/" + deployment;
    const FleetFile fleet =
        ParseFleetFile("fleet.yaml", ReadSourceFile(root + "/fleet.yaml"), findings);
    const auto resources = ReadResourceFiles(
        {std::string(MILLSTAIR_SOURCE_DIR) + "/" + root + "/resources"}, findings);
    INFO(findings.ToString());
    REQUIRE(findings.empty());
    REQUIRE(DanglingReferences(resources).ToString().empty());
    std::set<std::string> addresses;
    for (const ParsedResource& parsed : resources) {
      const auto* engine = std::get_if<EngineSpec>(&parsed.resource.spec);
      if (engine != nullptr) addresses.insert(engine->address);
    }
    REQUIRE(addresses.size() == fleet.engines.size() + fleet.plain_servers.size());
    for (const FleetBackend& engine : fleet.engines) REQUIRE(addresses.contains(engine.address));
    REQUIRE(fleet.nodes.size() == 6);
  }
}

TEST_CASE("errors in a fleet file name their location") {
  Findings findings;
  ParseFleetFile("f",
                 "deployment: a\nmodel: m\nstream: s\nlink_control: host:1\nnodes: []\n"
                 "engines: []\nplain_servers: []\ntraffic: [{kind: dance, path: /p}]\n",
                 findings);
  REQUIRE(findings.items().size() == 2);
  REQUIRE(findings.items()[0].location.line == 4);
  REQUIRE(findings.items()[1].location.line == 8);
}

TEST_CASE("metrics are found by their full name only") {
  const std::string page = "# HELP a_b x\na_b_total 9\na_b{zone=\"z\"} 4\na_c 5\n";
  REQUIRE(MetricValue(page, "a_b") == 4);
  REQUIRE(MetricValue(page, "a_c") == 5);
  REQUIRE_FALSE(MetricValue(page, "a").has_value());
}

FleetFile TwoGateways() {
  FleetFile fleet;
  fleet.nodes = {{"g1", "a", "127.0.0.1:1", "127.0.0.1:11", true},
                 {"g2", "b", "127.0.0.1:2", "127.0.0.1:12", true},
                 {"c1", "a", "127.0.0.1:3", "127.0.0.1:3", false}};
  return fleet;
}

TEST_CASE("callers use ready gateways only, round-robin") {
  DemoRun run(TwoGateways());
  run.SetReady("g2", true);
  for (int i = 0; i < 4; ++i) REQUIRE(run.PickGateway().address == "127.0.0.1:12");
  run.SetReady("g1", true);
  REQUIRE(run.PickGateway().node != run.PickGateway().node);
}

TEST_CASE("commands of the fault script are recorded as fault windows and incarnations") {
  DemoRun run(TwoGateways());
  std::string failed_command;
  {
    FaultScript script(run);
    std::istringstream lines("stopping g1\nstopped g1\nstarted g1\nkilling c1\nfinish\nnonsense\n");
    REQUIRE(script.Run(lines, failed_command));
    std::istringstream wrong("dance g1\n");
    REQUIRE_FALSE(script.Run(wrong, failed_command));
    REQUIRE(failed_command == "dance g1");
    run.Stop();
  }
  REQUIRE(run.IncarnationOf("g1") == 2);
  const checks::History history = run.TakeHistory();
  REQUIRE(history.faults.size() == 2);
  REQUIRE(history.faults[0].planned);
  REQUIRE(history.faults[0].end.has_value());
  REQUIRE_FALSE(history.faults[1].planned);
  REQUIRE_FALSE(history.faults[1].end.has_value());
}

TEST_CASE("a check that tried nothing or is undecided does not hold") {
  REQUIRE(AllHeld({{.name = "a", .tried = 1}}));
  REQUIRE_FALSE(AllHeld({{.name = "a", .tried = 0}}));
  REQUIRE_FALSE(AllHeld({{.name = "a", .tried = 2, .broken = 1}}));
  REQUIRE_FALSE(AllHeld({{.name = "a", .tried = 2, .undecided = 1}}));
}

}  // namespace
}  // namespace millstair
