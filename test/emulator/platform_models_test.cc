#include "emulator/model/platform_models.h"

#include <catch2/catch.hpp>
#include <vector>

#include "common/virtual_environment.h"
#include "test/emulator/recording_writer.h"

namespace millstair::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PlatformFixture {
  PlatformFixture() : scheduler(3), environment(scheduler, 5) {}
  VirtualScheduler scheduler;
  VirtualEnvironment environment;
};

TEST_CASE("a plain server echoes each request in its response and counts executions") {
  PlatformFixture fixture;
  PlainServerModel server(fixture.environment, {.name = "booking-1"});
  const auto first = Send(server, "POST", "/bookings?x=1", "drop 7",
                          {{"Idempotency-Key", "k1"}, {"X-Request-Id", "r1"}});
  CHECK_FALSE(first->ended());
  fixture.scheduler.RunFor(milliseconds(10));
  REQUIRE(first->finished);
  CHECK(first->head.status == 200);
  CHECK(first->json()["server"] == "booking-1");
  CHECK(first->json()["path"] == "/bookings");
  CHECK(first->json()["request"] == "r1");
  CHECK(first->json()["body"] == "drop 7");
  CHECK(first->json()["execution"].as_int64() == 1);
  const auto second = Send(server, "POST", "/bookings", "drop 7", {{"idempotency-key", "k1"}});
  fixture.scheduler.RunFor(milliseconds(10));
  CHECK(second->json()["execution"].as_int64() == 2);
  CHECK(server.executions().at({"POST", "/bookings", "k1"}).count == 2);
}

TEST_CASE("refused requests did not run, and those with a truncated response did") {
  PlatformFixture fixture;
  PlainServerModel refusing(fixture.environment, {.refusal = 1.0});
  const auto refused = Send(refusing, "GET", "/a");
  fixture.scheduler.RunFor(seconds(1));
  CHECK(refused->head.status == 503);
  CHECK(refused->Header("Millstair-Outcome") == "not-run");
  CHECK(refusing.executions().empty());
  CHECK(refusing.refused() == 1);

  PlainServerModel cutting(fixture.environment, {.cut_answer = 1.0, .padding_bytes = 100});
  const auto cut = Send(cutting, "GET", "/a");
  fixture.scheduler.RunFor(seconds(1));
  CHECK(cut->aborted);
  CHECK_FALSE(cut->finished);
  CHECK(cut->body.size() < std::stoul(cut->Header("Content-Length")));
  CHECK(cutting.executions().at({"GET", "/a", ""}).count == 1);
}

TEST_CASE("a draining plain server refuses, a crashed one aborts") {
  PlatformFixture fixture;
  PlainServerModel server(fixture.environment, {.delay_min = seconds(1), .delay_max = seconds(1)});
  const auto begun = Send(server, "GET", "/a");
  server.Drain();
  fixture.scheduler.RunFor(milliseconds(100));
  const auto late = Send(server, "GET", "/b");
  CHECK(late->Header("Millstair-Draining") == "true");
  CHECK(late->Header("Millstair-Outcome") == "not-run");
  CHECK(server.arrived_while_draining() == 1);
  CHECK(server.last_arrival_while_draining() == fixture.environment.Now());
  fixture.scheduler.RunFor(seconds(1));
  CHECK(begun->finished);
  server.Undrain();
  const auto cut = Send(server, "GET", "/c");
  server.Crash();
  CHECK(cut->aborted);
  CHECK(Send(server, "GET", "/d")->aborted);
  CHECK(server.executions().size() == 2);
  server.Restart();
  const auto after = Send(server, "GET", "/e");
  fixture.scheduler.RunFor(seconds(2));
  CHECK(after->finished);
}

TEST_CASE("a large response waits for capacity in the send buffer") {
  PlatformFixture fixture;
  PlainServerModel server(fixture.environment, {.padding_bytes = 10000});
  auto writer = std::make_shared<RecordingWriter>();
  writer->writable_bytes = 4000;
  server.Handle({"GET", "/page", {}, ""}, writer);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(writer->body.size() == 4000);
  CHECK_FALSE(writer->finished);
  writer->SetWritableBytes(100000);
  CHECK(writer->finished);
  CHECK(writer->body.size() == std::stoul(writer->Header("Content-Length")));
}

TEST_CASE("reads of the weight store are limited to its rate") {
  PlatformFixture fixture;
  WeightStoreModel store(
      fixture.environment,
      {.bytes_per_second = 100, .burst_bytes = 100, .version_bytes = 100, .max_waiting = 2});
  std::vector<Duration> done;
  int refused = 0;
  for (int i = 0; i < 4; ++i) {
    store.Fetch("m/1", [&](absl::StatusOr<WeightDigest> digest) {
      if (digest.ok()) done.push_back(fixture.scheduler.Now());
      if (absl::IsResourceExhausted(digest.status())) ++refused;
    });
  }
  fixture.scheduler.RunFor(seconds(10));
  // The bucket covers one version; after that, one version per second.
  CHECK(done == std::vector<Duration>{Duration(0), seconds(1), seconds(2)});
  CHECK(refused == 1);
  CHECK(store.fetches() == 3);
  CHECK(store.refused() == 1);
  CHECK(store.bytes_served() == 300);
  CHECK(store.peak_waiting() == 2);
}

TEST_CASE("the weight store speaks HTTP") {
  PlatformFixture fixture;
  WeightStoreModel store(
      fixture.environment,
      {.bytes_per_second = 100, .burst_bytes = 100, .version_bytes = 1000, .max_waiting = 1});
  CHECK(Send(store, "PUT", "/weights/m/7", R"({"digest":"abc","bytes":50})")->head.status == 200);
  CHECK(Send(store, "PUT", "/weights/m/7", "{}")->head.status == 400);
  CHECK(Send(store, "GET", "/other")->head.status == 404);
  const auto known = Send(store, "GET", "/weights/m/7");
  const auto unknown = Send(store, "GET", "/weights/m/8");
  const auto refused = Send(store, "GET", "/weights/m/9");
  fixture.scheduler.RunFor(milliseconds(1));
  CHECK(known->Header("Millstair-Weight-Digest") == "abc");
  CHECK(known->Header("Millstair-Weight-Bytes") == "50");
  CHECK(refused->head.status == 429);
  CHECK(refused->Header("Retry-After") == "10");
  CHECK_FALSE(unknown->ended());
  fixture.scheduler.RunFor(seconds(20));
  CHECK(unknown->Header("Millstair-Weight-Digest") == "sha-m/8");
  store.SetAvailable(false);
  const auto down = Send(store, "GET", "/weights/m/7");
  fixture.scheduler.RunFor(seconds(1));
  CHECK(down->head.status == 503);
}

TEST_CASE("a score depends on the text alone") {
  PlatformFixture fixture;
  ScorerModel scorer(fixture.environment, {});
  const auto answer = Send(scorer, "POST", "/score", R"({"text":"two trucks"})");
  CHECK_FALSE(answer->ended());
  fixture.scheduler.RunFor(milliseconds(20));
  const double score = answer->json()["score"].as_double();
  CHECK(score == ScoreOf("two trucks"));
  CHECK(score >= 0.0);
  CHECK(score < 1.0);
  CHECK(score != ScoreOf("two truck"));
  CHECK(Send(scorer, "POST", "/score", "[]")->head.status == 400);
  CHECK(scorer.scored() == 1);
}

MachineState StateOf(const MachineListModel& list, const std::string& address) {
  for (const MachineEntry& machine : list.Listed()) {
    if (machine.address == address) return machine.state;
  }
  throw std::out_of_range(address);
}

TEST_CASE("the machine list lags behind the actual state") {
  PlatformFixture fixture;
  MachineListModel list(fixture.environment, {});
  list.Add({"10.0.0.1", MachineState::kLive});
  list.SetState("10.0.0.1", MachineState::kLeaving);
  fixture.scheduler.RunFor(seconds(4));
  CHECK(StateOf(list, "10.0.0.1") == MachineState::kLive);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(StateOf(list, "10.0.0.1") == MachineState::kLeaving);
  list.SetState("10.0.0.2", MachineState::kLive);
  CHECK(list.Listed().size() == 1);
  const auto answer = Send(list, "GET", "/machines");
  CHECK(answer->body == R"({"machines":[{"address":"10.0.0.1","state":"leaving"}]})");
}

TEST_CASE("a late change never undoes a later one") {
  PlatformFixture fixture;
  MachineListModel late(fixture.environment,
                        {.lag = seconds(1), .late = 0.5, .late_lag = seconds(30)});
  for (int i = 0; i < 20; ++i) {
    const std::string address = "10.0.0." + std::to_string(i);
    late.Add({address, MachineState::kLive});
    late.SetState(address, MachineState::kLeaving);
    late.SetState(address, MachineState::kGone);
  }
  fixture.scheduler.RunFor(seconds(2));
  int gone_soon = 0;
  for (const MachineEntry& machine : late.Listed())
    gone_soon += machine.state == MachineState::kGone;
  CHECK(gone_soon > 0);
  CHECK(gone_soon < 20);
  fixture.scheduler.RunFor(seconds(30));
  for (const MachineEntry& machine : late.Listed()) CHECK(machine.state == MachineState::kGone);
}

TEST_CASE("a missing change is never visible") {
  PlatformFixture fixture;
  MachineListModel list(fixture.environment, {.missing = 1.0});
  list.Add({"10.0.0.1", MachineState::kLive});
  list.SetState("10.0.0.1", MachineState::kGone);
  fixture.scheduler.RunFor(std::chrono::hours(1));
  CHECK(StateOf(list, "10.0.0.1") == MachineState::kLive);
}

}  // namespace
}  // namespace millstair::testing
