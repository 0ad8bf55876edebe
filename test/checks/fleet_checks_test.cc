#include "simulator/checks/fleet_checks.h"

#include <catch2/catch.hpp>

#include "simulator/checks/all_checks.h"

namespace millstair::checks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CallAttempt MakeCall(int sent, int ended, CallEnd end) {
  CallAttempt call{.attempt_id = "t" + std::to_string(sent)};
  call.sent = seconds(sent);
  call.ended = seconds(ended);
  call.end = end;
  return call;
}

TEST_CASE("new work to a leaving back end is detected after the bound") {
  History history;
  const AgreedBounds bounds;
  history.leaving = {{EngineName("b"), LeavingSource::kOperator, seconds(10), seconds(40)}};
  history.arrivals = {{EngineName("b"), seconds(12), "request"},
                      {EngineName("c"), seconds(30), "request"},
                      {EngineName("b"), seconds(41), "request"}};
  REQUIRE(CheckNoNewWorkToLeaving(history, bounds).broken == 0);
  history.arrivals.push_back({EngineName("b"), seconds(17), "request"});
  REQUIRE(CheckNoNewWorkToLeaving(history, bounds).broken == 1);
  history.leaving[0].source = LeavingSource::kPlatformList;
  REQUIRE(CheckNoNewWorkToLeaving(history, bounds).broken == 0);
}

TEST_CASE("a call cut while only planned stops happen is detected") {
  History history;
  history.faults = {{"planned-stop", true, NodeId("g"), seconds(20), seconds(30)}};
  history.calls = {MakeCall(22, 24, CallEnd::kComplete), MakeCall(5, 7, CallEnd::kCut)};
  REQUIRE(CheckPlannedStops(history).broken == 0);
  history.calls.push_back(MakeCall(25, 26, CallEnd::kCut));
  REQUIRE(CheckPlannedStops(history).broken == 1);
  history.faults.push_back({"engine-crash", false, NodeId(), seconds(21), seconds(22)});
  REQUIRE(CheckPlannedStops(history).broken == 0);
  history.planned_cuts = {{NodeId("g"), "call t1", seconds(30)}};
  REQUIRE(CheckPlannedStops(history).broken == 1);
}

ConfigurationSeen MakeSeen(int at, uint64_t incarnation, uint64_t revision, bool ready) {
  return {NodeId("g"), Incarnation(incarnation), seconds(at), Revision(revision), ready};
}

TEST_CASE("a decreasing revision is detected, also across a restart") {
  History history;
  const AgreedBounds bounds;
  history.configurations = {MakeSeen(1, 1, 5, true), MakeSeen(2, 1, 7, true),
                            MakeSeen(3, 2, 0, false), MakeSeen(4, 2, 7, true)};
  REQUIRE(CheckConfiguration(history, bounds).broken == 0);
  history.configurations.push_back(MakeSeen(5, 2, 6, false));
  REQUIRE(CheckConfiguration(history, bounds).broken == 1);
  history.configurations = {MakeSeen(2, 1, 7, true), MakeSeen(4, 2, 6, true)};
  REQUIRE(CheckConfiguration(history, bounds).broken == 1);
}

TEST_CASE("work assigned under an outdated configuration is detected") {
  History history;
  const AgreedBounds bounds;
  history.accepted = {{Revision(9), seconds(10)}};
  history.configurations = {MakeSeen(12, 1, 8, true), MakeSeen(14, 1, 8, false)};
  REQUIRE(CheckConfiguration(history, bounds).broken == 0);
  history.configurations.push_back(MakeSeen(15, 1, 8, true));
  REQUIRE(CheckConfiguration(history, bounds).broken == 1);
  history.faults = {{"cut", false, NodeId(), seconds(9), seconds(20)}};
  REQUIRE(CheckConfiguration(history, bounds).broken == 0);
  history.configurations.push_back(MakeSeen(17, 1, 8, true));
  REQUIRE(CheckConfiguration(history, bounds).broken == 1);
}

TEST_CASE("overdue demands and runs without a completed call are detected") {
  History history;
  const AgreedBounds bounds;
  history.healed = seconds(60);
  history.end = seconds(120);
  history.calls = {MakeCall(1, 2, CallEnd::kComplete), MakeCall(95, 96, CallEnd::kComplete)};
  history.demands = {{"step 1", seconds(5), seconds(85)}};
  REQUIRE(CheckLiveness(history, bounds).broken == 0);
  history.demands.push_back({"step 2", seconds(50), std::nullopt});
  REQUIRE(CheckLiveness(history, bounds).broken == 1);
  history.demands.pop_back();
  history.calls.push_back(MakeCall(96, 97, CallEnd::kRefused));
  REQUIRE(CheckLiveness(history, bounds).broken == 1);
  history.calls = {MakeCall(1, 2, CallEnd::kRefused)};
  REQUIRE(CheckLiveness(history, bounds).broken == 1);
}

TEST_CASE("names of checks are unique") {
  const std::vector<CheckResult> results = RunAllChecks({}, {}, {});
  for (size_t i = 0; i < results.size(); ++i) {
    for (size_t j = 0; j < i; ++j) REQUIRE(results[i].name != results[j].name);
  }
  REQUIRE(results.size() == 13);
}

}  // namespace
}  // namespace millstair::checks
