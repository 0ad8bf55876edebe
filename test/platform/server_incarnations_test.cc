/// Restarted servers and invalid heartbeats, from the wire format to the state of the cluster.
#include <catch2/catch.hpp>

#include "cluster/backend_instance_id.h"
#include "fmt/format.h"
#include "platform/instance_codec.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair::platform {
namespace {

/// Fields of a heartbeat.
struct Heartbeat {
  uint64_t start_time = 0;
  uint64_t sequence = 1;
  std::string address = "10.0.0.1:80";
  std::string state = "ready";
  uint64_t version = 1;
};

std::string BodyOf(const Heartbeat& heartbeat) {
  return fmt::format(
      R"({{"service":"s","addr":"{}","zone":"z","version":"v1","slots":8,"state":"{}",
           "cold_left_ms":0,"models":[{{"name":"m","version":{}}}],"born":{},"seq":{}}})",
      heartbeat.address, heartbeat.state, heartbeat.version, heartbeat.start_time,
      heartbeat.sequence);
}

class Fixture {
 public:
  void ApplyHeartbeat(const Heartbeat& heartbeat) {
    const auto instance = ReadHeartbeat("i-1", BodyOf(heartbeat));
    REQUIRE(instance.ok());
    driver.Apply(UpdateInstance{*instance});
  }

  /// Instances that may receive work.
  std::vector<BackendInstance> Live() const {
    std::vector<BackendInstance> live;
    for (const auto& [id, instance] : driver.state.configuration().instances) {
      if (instance.state == MemberState::kLive) live.push_back(instance);
    }
    return live;
  }

  StateMachineDriver driver;
};

TEST_CASE("A restarted server replaces its previous incarnation") {
  Fixture fixture;
  fixture.ApplyHeartbeat({1000, 9, "10.0.0.1:80", "ready", 5});
  fixture.ApplyHeartbeat({2000, 1, "10.0.0.2:80", "ready", 1});
  const auto live = fixture.Live();
  REQUIRE(live.size() == 1);
  CHECK(live[0].address == "10.0.0.2:80");
  CHECK(live[0].models == std::vector<NamedVersion>{{ModelName("m"), WeightVersion(1)}});
  CHECK(live[0].sequence == 1);
}

TEST_CASE("Late heartbeats of a previous incarnation do not affect a restarted server") {
  Fixture fixture;
  fixture.ApplyHeartbeat({1000, 9, "10.0.0.1:80", "draining", 5});
  CHECK(fixture.Live().empty());
  fixture.ApplyHeartbeat({2000, 1, "10.0.0.1:80", "ready", 1});
  CHECK(fixture.Live().size() == 1);
  // Delayed by a partition.
  for (uint64_t sequence = 10; sequence < 20; ++sequence) {
    fixture.ApplyHeartbeat({1000, sequence, "10.0.0.1:80", "draining", 5});
    fixture.ApplyHeartbeat({2000, sequence, "10.0.0.1:80", "ready", 1});
  }
  const auto live = fixture.Live();
  REQUIRE(live.size() == 1);
  CHECK(live[0].models == std::vector<NamedVersion>{{ModelName("m"), WeightVersion(1)}});
}

TEST_CASE("An incarnation with an earlier start time is accepted once only it sends heartbeats") {
  Fixture fixture;
  fixture.ApplyHeartbeat({2000, 9, "10.0.0.1:80", "ready", 5});
  fixture.ApplyHeartbeat({1000, 1, "10.0.0.1:80", "ready", 1});
  CHECK(fixture.Live()[0].models[0].version == WeightVersion(5));
  fixture.ApplyHeartbeat({1000, 2, "10.0.0.1:80", "ready", 1});
  fixture.ApplyHeartbeat({1000, 3, "10.0.0.1:80", "ready", 1});
  REQUIRE(fixture.Live().size() == 1);
  CHECK(fixture.Live()[0].models[0].version == WeightVersion(1));
}

TEST_CASE("Late heartbeats of an older incarnation between those of the active one are ignored") {
  Fixture fixture;
  fixture.ApplyHeartbeat({2000, 1, "10.0.0.2:80", "ready", 5});
  for (uint64_t sequence = 2; sequence < 30; ++sequence) {
    fixture.ApplyHeartbeat({1000, sequence, "10.0.0.1:80", "ready", 1});
    fixture.ApplyHeartbeat({1000, sequence + 1, "10.0.0.1:80", "ready", 1});
    fixture.ApplyHeartbeat({2000, sequence, "10.0.0.2:80", "ready", 5});
    REQUIRE(fixture.Live().size() == 1);
    CHECK(fixture.Live()[0].address == "10.0.0.2:80");
  }
}

TEST_CASE(
    "An incarnation that was wrongly replaced is accepted again once only it sends heartbeats") {
  Fixture fixture;
  fixture.ApplyHeartbeat({2000, 1, "10.0.0.2:80", "ready", 5});
  for (uint64_t sequence = 7; sequence < 12; ++sequence) {
    fixture.ApplyHeartbeat({1000, sequence, "10.0.0.1:80", "ready", 1});
  }
  CHECK(fixture.Live()[0].address == "10.0.0.1:80");
  for (uint64_t sequence = 2; sequence < 6; ++sequence) {
    fixture.ApplyHeartbeat({2000, sequence, "10.0.0.2:80", "ready", 5});
  }
  REQUIRE(fixture.Live().size() == 1);
  CHECK(fixture.Live()[0].address == "10.0.0.2:80");
}

TEST_CASE("A deregistration ends the incarnation that it names, or the active one") {
  Fixture fixture;
  fixture.ApplyHeartbeat({1000, 9});
  fixture.ApplyHeartbeat({2000, 1});
  fixture.driver.Apply(UpdateInstance{*ReadDeregistration("i-1", R"({"born":1000})")});
  CHECK(fixture.Live().size() == 1);
  SECTION("it names the incarnation") {
    fixture.driver.Apply(UpdateInstance{*ReadDeregistration("i-1", R"({"born":2000})")});
    CHECK(fixture.Live().empty());
  }
  SECTION("it names none") {
    fixture.driver.Apply(UpdateInstance{*ReadDeregistration("i-1", "")});
    CHECK(fixture.Live().empty());
  }
  fixture.ApplyHeartbeat({2000, 2});
  CHECK(fixture.Live().empty());
  fixture.ApplyHeartbeat({3000, 1});
  CHECK(fixture.Live().size() == 1);
}

TEST_CASE("A heartbeat under another service does not affect the server with the same name") {
  Fixture fixture;
  fixture.ApplyHeartbeat({1000, 1});
  auto other = *ReadHeartbeat("i-1", BodyOf({1000, 5, "10.0.0.9:80", "draining", 1}));
  other.service = ServiceName("elsewhere");
  fixture.driver.Apply(UpdateInstance{other});
  REQUIRE(fixture.Live().size() == 1);
  CHECK(fixture.Live()[0].address == "10.0.0.1:80");
}

TEST_CASE("Incarnations survive a snapshot, and instance ids are unique per name and start time") {
  Fixture fixture;
  fixture.ApplyHeartbeat({2000, 9});
  fixture.ApplyHeartbeat({1000, 1});
  ClusterStateMachine restored({}, {});
  REQUIRE(restored.Restore(LogIndex(9), fixture.driver.state.TakeSnapshot()).ok());
  CHECK(restored.configuration().instances == fixture.driver.state.configuration().instances);
  CHECK(MakeInstanceId(ServerName("a@1"), StartTime()) !=
        MakeInstanceId(ServerName("a"), StartTime(1)));
  for (const char* name : {"a", "a@1", "a@", "@", "a@b@3"}) {
    for (const uint64_t start_time : {0UL, 1UL, 1700000000000UL}) {
      const InstanceId instance = MakeInstanceId(ServerName(name), StartTime(start_time));
      CHECK(ServerNameOf(instance) == ServerName(name));
      CHECK(StartTimeOf(instance) == StartTime(start_time));
    }
  }
}

TEST_CASE("A heartbeat with an invalid field is rejected") {
  const std::string complete = BodyOf({1000, 1, "10.0.0.1:80", "ready", 1});
  REQUIRE(ReadHeartbeat("i-1", complete).ok());
  const std::vector<std::pair<std::string, std::string>> replacements = {
      {R"("state":"ready")", R"("state":"paused")"},
      {R"("state":"ready")", R"("state":3)"},
      {R"("zone":"z",)", ""},
      {R"("slots":8,)", ""},
      {R"("addr":"10.0.0.1:80")", R"("addr":"here")"},
      {R"("service":"s")", R"("service":"")"},
      {R"("service":"s")", R"("service":["s"])"},
      {R"("born":1000)", R"("born":"1000")"},
      {R"("born":1000)", R"("born":1.5)"},
      {R"("version":1}])", R"("version":-1}])"},
  };
  for (const auto& [part, replacement] : replacements) {
    std::string body = complete;
    const size_t at = body.find(part);
    REQUIRE(at != std::string::npos);
    body.replace(at, part.size(), replacement);
    INFO(body);
    CHECK_FALSE(ReadHeartbeat("i-1", body).ok());
  }
}

}  // namespace
}  // namespace millstair::platform
