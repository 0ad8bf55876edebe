/// Zones whose back ends are to get nothing: operators' orders, how they reach every node, and what
/// outlives them. Told by control nodes and gateways' clients in virtual time.
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
/// Operators want an order acknowledged within a second.
constexpr Duration kAcknowledged = seconds(1);

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

/// Sends the order as operators do: to the next node after a refusal or a second of silence.
bool OrderAnywhere(ClusterFleet& fleet, const std::string& method, const std::string& zone) {
  for (int turn = 0; turn < 30; ++turn) {
    const std::string node = fmt::format("c{}", turn % 3 + 1);
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
    CHECK(fleet.RunUntil([&] { return answer->finished; }, kAcknowledged));
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

TEST_CASE(
    "orders that are sent again, or say nothing new, are acknowledged; unknown zones are not") {
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

TEST_CASE("an evacuation outlives a leader that is cut off, the kill of all, and snapshots") {
  const uint64_t seed = GENERATE(range(1, 6));
  ClusterFleet fleet({.seed = seed, .snapshot_after_entries = 10});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  REQUIRE(OrderAnywhere(fleet, "PUT", "z3"));
  SECTION("the leader is cut off right after it") {
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
  SECTION("a snapshot takes the place of its entry, and a gateway starts anew") {
    for (int i = 0; i < 30; ++i) fleet.PutMachine(fmt::format("m{}", i));
    fleet.Crash("g1");
    fleet.Start("g1");
  }
  fleet.RunFor(seconds(6));
  for (const char* gateway : {"g1", "g2"}) {
    CHECK(fleet.Process(gateway).configuration->LeaseValid());
    CHECK(Evacuated(fleet, gateway, "z3"));
  }
  REQUIRE(OrderAnywhere(fleet, "DELETE", "z3"));
  fleet.RunFor(seconds(1));
  CHECK_FALSE(Evacuated(fleet, "g1", "z3"));
}

/// The build before reads no entry of an evacuation: its replica would pass over it, and its
/// gateways would go on sending.
TEST_CASE("an evacuation is refused while a node is live whose build does not obey it") {
  ClusterFleet fleet({});
  const std::string earlier = GENERATE("c2", "g1");
  fleet.Crash(earlier);
  fleet.SetFirstBuild(earlier, true);
  fleet.Start(earlier);
  fleet.AwaitLeader();
  fleet.RunFor(seconds(10));
  for (const char* node : {"c1", "c2", "c3"}) {
    const RecordedAnswer answer = fleet.RequestAndWait(node, "PUT", "/v1/evacuations/z2");
    CHECK(answer.status == kUnavailable);
    CHECK(answer.body.find(earlier) != std::string::npos);
  }
  fleet.Crash(earlier);
  fleet.SetFirstBuild(earlier, false);
  fleet.Start(earlier);
  CHECK(OrderAnywhere(fleet, "PUT", "z2"));
  // One machine goes back to the build before: what it would not read is not proposed.
  fleet.Crash(earlier);
  fleet.SetFirstBuild(earlier, true);
  fleet.Start(earlier);
  fleet.RunFor(seconds(10));
  CHECK(fleet.RequestAndWait("c1", "PUT", "/v1/evacuations/z1").status == kUnavailable);
}

TEST_CASE("back ends of the own interface leave while their zone is evacuated") {
  Configuration configuration;
  const Resource machine = MakeResource("m", MachineSpec{Zone("z1"), "127.0.0.1", false});
  const Resource engine = MakeResource("e", EngineSpec{EngineType::kHttp, "m", "127.0.0.1:1"});
  configuration.resources = {{machine.key(), machine}, {engine.key(), engine}};
  CHECK(EffectiveState(configuration, EngineName("e")) == MemberState::kLive);
  configuration.evacuated_zones[Zone("z1")] = {Zone("z1"), Revision(1)};
  CHECK(EffectiveState(configuration, EngineName("e")) == MemberState::kLeaving);
}

TEST_CASE("a server that is slow after its start is told once, and again when it is slow anew") {
  ColdReports reports;
  const InstanceId server("i");
  TimePoint now = TimePoint() + seconds(100);
  CHECK_FALSE(reports.IsNews(server, Duration(0), now));
  CHECK(reports.IsNews(server, seconds(3), now));
  CHECK_FALSE(reports.IsNews(server, milliseconds(1800), now + milliseconds(1200)));
  CHECK_FALSE(reports.IsNews(server, milliseconds(700), now + milliseconds(2400)));
  CHECK_FALSE(reports.IsNews(server, Duration(0), now + milliseconds(3600)));
  CHECK(reports.IsNews(server, seconds(3), now + seconds(4)));
}

}  // namespace
}  // namespace millstair
