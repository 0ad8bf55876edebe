/// The scoring of complete texts by the job scheduler.
#include <catch2/catch.hpp>
#include <memory>

#include "fmt/format.h"
#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeAnswer::Kind;
using Fixture = JobSchedulerFixture;

/// Guards against calls to an outdated scorer after the leader was paused: the route to the scorer
/// may have changed meanwhile.
TEST_CASE("A complete text is not scored while the configuration is not confirmed current") {
  Fixture fixture;
  bool fresh = true;
  fixture.scheduler_under_test.SetMayStartWork([&] { return fresh; });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  const auto runs = [&] { return fixture.backends.CountAt("e:1") == 1; };
  REQUIRE(fixture.scheduler.RunUntilTrue(runs, seconds(1)));
  fresh = false;
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("p:1") == 0);
  fresh = true;
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("p:1") == 1);
  CHECK(fixture.ResultOf("j") != nullptr);
}

// Guards against a leader that sends calls to scorers that an end could not call back.
TEST_CASE("A complete text is not scored while the job group commits nothing") {
  Fixture fixture;
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  const auto runs = [&] { return fixture.backends.CountAt("e:1") == 1; };
  REQUIRE(fixture.scheduler.RunUntilTrue(runs, seconds(1)));
  fixture.group.uncommitted_for = seconds(2);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("p:1") == 0);
  fixture.group.uncommitted_for = Duration(0);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("p:1") == 1);
  CHECK(fixture.ResultOf("j") != nullptr);
}

TEST_CASE("An item fails if all allowed scoring attempts fail") {
  Fixture fixture;
  fixture.score = {Kind::kAnswer, 500, {}, {"no"}};
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->state == ItemState::kFailed);
  CHECK(fixture.backends.CountAt("p:1") >= 3);
}

/// Maximum number of concurrent calls at `address`, if each took `each`.
size_t MaxConcurrentCalls(const FakeBackends& backends, const std::string& address, Duration each) {
  size_t max_calls = 0;
  for (const auto& call : backends.calls) {
    size_t at_once = 0;
    for (const auto& other : backends.calls) {
      const bool overlaps = other->at <= call->at && call->at < other->at + each;
      at_once += call->address == address && other->address == address && overlaps ? 1 : 0;
    }
    max_calls = std::max(max_calls, at_once);
  }
  return max_calls;
}

TEST_CASE("Concurrent scorings are limited to the slots of the scorers") {
  Fixture fixture;
  fixture.configuration.instances[InstanceId("e:1")].slots = 30;
  fixture.score.delay = milliseconds(20);
  fixture.score.gap = Duration(0);
  fixture.Update();
  JobSpec job = fixture.Job("j");
  const JobItem item = job.items[0];
  job.items.clear();
  for (int i = 0; i < 30; ++i) {
    job.items.push_back(item);
    job.items.back().id = ItemId("item-" + std::to_string(i));
  }
  fixture.Submit(job);
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(2));
  // The scorer has two slots.
  CHECK(fixture.backends.CountAt("p:1") == 30);
  CHECK(MaxConcurrentCalls(fixture.backends, "p:1", milliseconds(20)) == 2);
  CHECK(fixture.state.Find(JobId("j"))->results.size() == 30);
}

TEST_CASE("Scorers without free slots do not block texts of other scorers") {
  Fixture fixture;
  fixture.score.kind = Kind::kNoResponse;
  Route other = fixture.reader.table.routes[1];
  other.name = "other";
  other.path_prefix = "/other/";
  other.services = {{ServiceName("judges"), 1}};
  fixture.reader.table.routes.push_back(other);
  fixture.reader.table.version = 2;
  fixture.configuration.routing = {2, "other content"};
  fixture.Add("q:1", "judges", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 200, {{"signature", "sig"}}, {"ok"}};
  });
  fixture.Lead();
  for (const char* id : {"a", "b", "c", "d"}) {
    JobSpec job = fixture.Job(id);
    job.items[0].id = ItemId(std::string("item-") + id);
    if (id[0] == 'd') job.items[0].scoring->path = "/other/x";
    fixture.Submit(job);
  }
  fixture.scheduler.RunFor(milliseconds(300));
  CHECK(fixture.ResultOf("a") == nullptr);
  REQUIRE(fixture.ResultOf("d") != nullptr);
}

TEST_CASE("The end of a job frees the slots of its scorings") {
  Fixture fixture;
  fixture.score.kind = Kind::kNoResponse;
  fixture.Lead();
  for (const char* id : {"a", "b", "c"}) {
    JobSpec job = fixture.Job(id);
    job.items[0].id = ItemId(std::string("item-") + id);
    fixture.Submit(job);
  }
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.backends.CountAt("p:1") == 2);
  for (const char* id : {"a", "b"}) {
    fixture.state.Apply(LogIndex(50), EncodeJobCommand({EndJob{JobId(id)}, {}}));
  }
  fixture.score.kind = Kind::kAnswer;
  fixture.scheduler.RunFor(milliseconds(300));
  REQUIRE(fixture.ResultOf("c") != nullptr);
}

TEST_CASE("An item waits until its scoring response has a signature") {
  Fixture fixture;
  fixture.score = {Kind::kAnswer, 200, {}, {"ok"}};
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.ResultOf("j") == nullptr);
}

/// Guards against a score that is withheld, and with it the item, because scorers crashed.
TEST_CASE("A score during which several scorers crashed is asked for again") {
  Fixture fixture;
  int ends_left = 5;
  for (int number = 1; number <= 6; ++number) {
    const std::string address = fmt::format("p:{}", number);
    auto ended = std::make_shared<bool>(false);
    fixture.Add(address, "pages", [&fixture, &ends_left, ended](const HttpRequest& request) {
      FakeAnswer refused;
      refused.kind = Kind::kUnreachable;
      if (*ended) return refused;
      if (request.method == "GET" || ends_left == 0) return fixture.score;
      --ends_left;
      *ended = true;
      FakeAnswer lost;
      lost.kind = Kind::kReset;
      return lost;
    });
  }
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunUntilTrue([&] { return ends_left == 0; }, seconds(20));
  REQUIRE(ends_left == 0);
  fixture.scheduler.RunFor(seconds(5));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->score == "sig");
}

}  // namespace
}  // namespace millstair
