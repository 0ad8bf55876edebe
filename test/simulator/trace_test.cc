#include "simulator/run/trace.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace millstair::simulator {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::filesystem::path> TraceFiles() {
  std::vector<std::filesystem::path> files;
  const std::filesystem::path folder =
      std::filesystem::path(MILLSTAIR_SOURCE_DIR) / "simulator" / "traces";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

TEST_CASE("Errors in a trace are reported with their line", "[simulator]") {
  const auto unknown = ParseTrace("name: a\nreplays: b\nwrong: c\n");
  REQUIRE_FALSE(unknown.ok());
  CHECK(std::string(unknown.status().message()) == "line 3: unknown key 'wrong'");
  const auto fault = ParseTrace(
      "name: a\nreplays: b\ndeployment: khosa\nseed: 1\nseconds: 80\nfaults:\n"
      "  - {kind: earthquake, at: 1, for: 2}\noutcome: {}\n");
  REQUIRE_FALSE(fault.ok());
  CHECK(std::string(fault.status().message()).starts_with("line 7: unknown fault"));
}

TEST_CASE("Differences from the stated outcome are reported", "[simulator]") {
  FleetResult result;
  result.checks.push_back({.name = "staleness", .tried = 3, .broken = 1, .first_example = "old"});
  result.measures.steps_completed = 2;
  result.measures.cut = 1;
  const StatedOutcome stated{
      .faults = {{"delay", 1}}, .tried = {{"staleness", 4}}, .steps_completed = 3, .cut = 0};
  CHECK(CompareOutcome(stated, result) ==
        std::vector<std::string>{
            "staleness broken: old", "cases of staleness: 3 instead of at least 4",
            "fault delay: 0 instead of at least 1", "whole steps: 2 instead of at least 3",
            "1 answers cut instead of at most 0"});
}

TEST_CASE("Every recorded trace can be parsed", "[simulator]") {
  REQUIRE(TraceFiles().size() >= 9);
  for (const std::filesystem::path& path : TraceFiles()) {
    INFO(path.filename().string());
    const auto trace = ParseTrace(ReadFile(path));
    REQUIRE(trace.ok());
    CHECK(trace->name == path.stem().string());
    CHECK_FALSE(trace->fleet.faults.empty());
    for (const PlannedFault& fault : trace->fleet.faults) {
      CHECK(fault.begin + fault.length <= FaultsHealedBy(trace->fleet.length));
    }
  }
}

}  // namespace millstair::simulator
