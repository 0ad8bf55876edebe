/// Jobs that are submitted after the group got no command for minutes.
#include <catch2/catch.hpp>

#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Fixture = JobSchedulerFixture;

/// Items of the fixture's route expire after 30 s.
constexpr Duration kItemLifetime = seconds(30);

/// Guards against jobs that are dated to the past, so that their items expire at once.
TEST_CASE("Items of a job submitted after a quiet time have their whole lifetime") {
  Fixture fixture;
  fixture.Lead();
  fixture.Submit(fixture.Job("first", false));
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.ResultOf("first") != nullptr);
  fixture.scheduler.RunFor(GENERATE(seconds(105), seconds(3600)));
  fixture.backends.Serve(
      "e:1", [](const HttpRequest&) { return FakeAnswer{FakeAnswer::Kind::kUnreachable}; });
  JobSpec job = fixture.Job("second", false);
  job.items[0].id = ItemId("item-2");
  job.items[0].body = "another prompt";
  fixture.Submit(job);
  // Another command must not make it older either.
  fixture.group.Propose(
      EncodeJobCommand({EndJob{JobId("first"), {}}, fixture.environment.WallNow()}),
      [](const absl::StatusOr<std::string>&) {});
  fixture.scheduler.RunFor(kItemLifetime - seconds(1));
  CHECK(fixture.ResultOf("second") == nullptr);
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.ResultOf("second") != nullptr);
  CHECK(fixture.ResultOf("second")->state == ItemState::kFailed);
}

/// Guards against ended jobs that are removed early, so that a resend runs them again.
TEST_CASE("A job that ends after a quiet time is retained for its whole time") {
  Fixture fixture;
  fixture.Lead();
  fixture.Submit(fixture.Job("first", false));
  fixture.scheduler.RunFor(minutes(4));
  JobSpec job = fixture.Job("second", false);
  job.items[0].id = ItemId("item-2");
  fixture.Submit(job);
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.ResultOf("second") != nullptr);
  const auto end = [&fixture](const char* id) {
    fixture.group.Propose(EncodeJobCommand({EndJob{JobId(id), {}}, fixture.environment.WallNow()}),
                          [](const absl::StatusOr<std::string>&) {});
    fixture.scheduler.RunFor(milliseconds(500));
  };
  for (int i = 0; i < 5; ++i) end("second");
  CHECK(fixture.state.Find(JobId("second")) != nullptr);
  fixture.scheduler.RunFor(JobLimits().retention + minutes(1));
  CHECK(fixture.state.Find(JobId("second")) == nullptr);
}

}  // namespace
}  // namespace millstair
