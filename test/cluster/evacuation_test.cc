/// Zone evacuations: operators' orders, their distribution to every node, and the failures that
/// they survive. Control nodes and gateways' clients run in virtual time.
#include <catch2/catch.hpp>

#include "cluster/cold_reports.h"
#include "fmt/format.h"
#include "test/cluster/cluster_fleet.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// An order must be acknowledged within this time.
constexpr Duration kAcknowledgementTimeout = seconds(1);

bool Evacuated(ClusterFleet& fleet, const std::string& gateway, const std::string& zone) {
  const auto& zones = fleet.Process(gateway).configuration->configuration().evacuated_zones;
  return zones.contains(Zone(zone));
}

bool EvacuatedEverywhere(ClusterFleet& fleet, int gateways, const std::string& zone) {
  for (int i = 1; i <= gateways; ++i) {
    if (!Evacuated(fleet, fmt::format("g{}", i), zone)) return false;
  }
  return true;
}

/// Sends the order as operators do: to the next node after an error or a second without a response.
bool SubmitToAnyNode(ClusterFleet& fleet, const std::string& method, const std::string& zone) {
  for (int attempt = 0; attempt < 30; ++attempt) {
    const std::string node = fmt::format("c{}", attempt % 3 + 1);
    if (!fleet.Running(node)) continue;
    const auto answer = fleet.Request(node, method, "/v1/evacuations/" + zone);
    fleet.RunUntil([&] { return answer->finished; }, seconds(1));
    if (answer->finished && answer->status == kOk) return true;
    fleet.RunFor(milliseconds(300));
  }
  return false;
}

TEST_CASE("an evacuation is acknowledged within a second and known to every node right after") {
  constexpr int kGateways = 6;
  ClusterFleet fleet({.gateways = kGateways});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  for (const char* node : {"c1", "c2", "c3"}) {
    const auto answer = fleet.Request(node, "PUT", "/v1/evacuations/z2");
    CHECK(fleet.RunUntil([&] { return answer->finished; }, kAcknowledgementTimeout));
    CHECK(answer->status == kOk);
    CHECK(fleet.RunUntil([&] { return EvacuatedEverywhere(fleet, kGateways, "z2"); },
                         milliseconds(100)));
    CHECK(fleet.RequestAndWait(node, "GET", "/v1/evacuations").body.find("z2") !=
          std::string::npos);
    CHECK(fleet.RequestAndWait(node, "GET", "/v1/status").body.find("\"evacuations\":[{") !=
          std::string::npos);
    CHECK(fleet.RequestAndWait(node, "DELETE", "/v1/evacuations/z2").status == kOk);
    CHECK(fleet.RunUntil([&] { return !Evacuated(fleet, "g1", "z2"); }, milliseconds(100)));
  }
}

TEST_CASE("resent and redundant orders are acknowledged; orders for unknown zones are not") {
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  CHECK(fleet.RequestAndWait("c1", "PUT", "/v1/evacuations/z2").status == kOk);
  const uint64_t revision = fleet.RequestAndWait("c2", "PUT", "/v1/evacuations/z2").revision;
  CHECK(fleet.RequestAndWait("c3", "PUT", "/v1/evacuations/z2").revision == revision);
  CHECK(fleet.RequestAndWait("c1", "DELETE", "/v1/evacuations/z1").status == kOk);
  CHECK(fleet.RequestAndWait("c1", "PUT", "/v1/evacuations/nowhere").status == kNotFound);
  CHECK(Evacuated(fleet, "g1", "z2"));
}

TEST_CASE(
    "an evacuation survives an isolated leader, the kill of all control nodes, and snapshots") {
  const uint64_t seed = GENERATE(range(1, 6));
  ClusterFleet fleet({.seed = seed, .snapshot_after_entries = 10});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  REQUIRE(SubmitToAnyNode(fleet, "PUT", "z3"));
  SECTION("the leader is isolated right after it") {
    const std::string lost = fleet.Leader();
    fleet.Isolate(lost);
    fleet.AwaitLeader();
    fleet.RunFor(seconds(5));
    fleet.Heal(lost);
  }
  SECTION("all control nodes are killed") {
    for (const char* node : {"c1", "c2", "c3"}) fleet.Crash(node);
    for (const char* node : {"c1", "c2", "c3"}) fleet.Start(node);
    fleet.AwaitLeader();
  }
  SECTION("a snapshot replaces its entry, and a gateway restarts") {
    for (int i = 0; i < 30; ++i) fleet.PutMachine(fmt::format("m{}", i));
    fleet.Crash("g1");
    fleet.Start("g1");
  }
  fleet.RunFor(seconds(6));
  for (const char* gateway : {"g1", "g2"}) {
    CHECK(fleet.Process(gateway).configuration->LeaseValid());
    CHECK(Evacuated(fleet, gateway, "z3"));
  }
  REQUIRE(SubmitToAnyNode(fleet, "DELETE", "z3"));
  fleet.RunFor(seconds(1));
  CHECK_FALSE(Evacuated(fleet, "g1", "z3"));
}

/// An earlier build cannot decode evacuations: its replica would skip the entry, and its gateways
/// would keep sending requests to the zone.
TEST_CASE("an evacuation is rejected while a live node does not support it") {
  ClusterFleet fleet({});
  const std::string earlier_node = GENERATE("c2", "g1");
  fleet.Crash(earlier_node);
  fleet.SetFirstBuild(earlier_node, true);
  fleet.Start(earlier_node);
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  for (const char* node : {"c1", "c2", "c3"}) {
    const RecordedAnswer answer = fleet.RequestAndWait(node, "PUT", "/v1/evacuations/z2");
    CHECK(answer.status == kUnavailable);
    CHECK(answer.body.find(earlier_node) != std::string::npos);
  }
  fleet.Crash(earlier_node);
  fleet.SetFirstBuild(earlier_node, false);
  fleet.Start(earlier_node);
  CHECK(SubmitToAnyNode(fleet, "PUT", "z2"));
  // After the downgrade of one node, no evacuation may be proposed.
  fleet.Crash(earlier_node);
  fleet.SetFirstBuild(earlier_node, true);
  fleet.Start(earlier_node);
  fleet.RunFor(seconds(10));
  CHECK(fleet.RequestAndWait("c1", "PUT", "/v1/evacuations/z1").status == kUnavailable);
}

TEST_CASE("engines of an evacuated zone are leaving") {
  Configuration configuration;
  const Resource machine = MakeResource("m", MachineSpec{Zone("z1"), "127.0.0.1", false});
  const Resource engine = MakeResource("e", EngineSpec{EngineType::kHttp, "m", "127.0.0.1:1"});
  configuration.resources = {{machine.key(), machine}, {engine.key(), engine}};
  CHECK(EffectiveState(configuration, EngineName("e")) == MemberState::kLive);
  configuration.evacuated_zones[Zone("z1")] = {Zone("z1"), Revision(1)};
  CHECK(EffectiveState(configuration, EngineName("e")) == MemberState::kLeaving);
}

TEST_CASE("a slow-start report needs a commit once, and again when the server is cold again") {
  ColdReports reports;
  const InstanceId server("i");
  TimePoint now = TimePoint() + seconds(100);
  CHECK_FALSE(reports.NeedsCommit(server, Duration(0), now));
  CHECK(reports.NeedsCommit(server, seconds(3), now));
  CHECK_FALSE(reports.NeedsCommit(server, milliseconds(1800), now + milliseconds(1200)));
  CHECK_FALSE(reports.NeedsCommit(server, milliseconds(700), now + milliseconds(2400)));
  CHECK_FALSE(reports.NeedsCommit(server, Duration(0), now + milliseconds(3600)));
  CHECK(reports.NeedsCommit(server, seconds(3), now + seconds(4)));
}

}  // namespace
}  // namespace millstair
