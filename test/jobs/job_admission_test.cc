#include "jobs/job_admission.h"

#include <catch2/catch.hpp>
#include <limits>

#include "test/jobs/paced_engines.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNever = std::numeric_limits<double>::infinity();

/// `groups` groups of one waiting text each, due after 7.5 s.
AdmissionJob JobOf(size_t groups, double events, double given_up_in_seconds = 40) {
  AdmissionJob job;
  job.given_up_in_seconds = given_up_in_seconds;
  job.job.due_in_seconds = 7.5 - (40 - given_up_in_seconds);
  job.job.wanted_groups = groups;
  job.job.groups.resize(groups);
  for (size_t i = 0; i < groups; ++i) job.job.items.push_back({i, events, 0});
  return job;
}

/// One engine of 4 slots and 0.1 s per event.
const ForecastPool kPool{{{4, 0.1}}};

TEST_CASE("A job that the forecast plans is accepted") {
  CHECK_FALSE(DecideAdmission(kPool, {}, JobOf(10, 20)));
}

TEST_CASE("A job that is late but complete before its items are given up is accepted") {
  // 20 s for each text.
  CHECK_FALSE(DecideAdmission(kPool, {}, JobOf(10, 200)));
  // 400 texts of 4 s on 4 slots, of which the last job wants one in 40 s.
  CHECK_FALSE(DecideAdmission(kPool, {JobOf(30, 40, 39)}, JobOf(10, 40)));
}

TEST_CASE("A job of which every text takes too long at the fastest engine is rejected") {
  const auto rejection = DecideAdmission(kPool, {}, JobOf(10, 1000));
  REQUIRE(rejection);
  CHECK(rejection->reason == JobRejectionReason::kTextsTooLong);
  // Estimates are off by a factor of two often.
  CHECK_FALSE(DecideAdmission(kPool, {}, JobOf(10, 700)));
  // One group that fits is enough.
  AdmissionJob mixed = JobOf(10, 1000);
  mixed.job.items[7].remaining_events = 20;
  CHECK_FALSE(DecideAdmission(kPool, {}, mixed));
}

TEST_CASE(
    "A job behind a backlog that outlasts its items is rejected until the backlog has drained") {
  // 1000 s of work for each slot, in a burst of jobs.
  const std::vector<AdmissionJob> burst(20, JobOf(50, 400));
  const auto rejection = DecideAdmission(kPool, burst, JobOf(10, 400));
  REQUIRE(rejection);
  CHECK(rejection->reason == JobRejectionReason::kBacklog);
  CHECK(rejection->retry_after >= seconds(1));
  CHECK(rejection->retry_after <= seconds(40));
}

TEST_CASE("The time to retry follows the rate at which the backlog drains") {
  // The backlog of 40 s of expected work is given up after 40 s at the latest.
  const auto retry_after = [](double events) {
    const std::vector<AdmissionJob> burst(1, JobOf(4, 490));
    const auto rejection = DecideAdmission(kPool, burst, JobOf(4, events));
    return rejection ? ToSeconds(rejection->retry_after) : 0.0;
  };
  // The backlog takes 39.2 s if it is as small as it may be; a text needs half of its expected
  // time.
  CHECK(retry_after(400) == Approx(39.2 + 20 - 40).margin(0.01));
  CHECK(retry_after(200) == Approx(39.2 + 10 - 40).margin(0.01));
}

TEST_CASE("Only jobs of the same or a more urgent priority count") {
  std::vector<AdmissionJob> burst(20, JobOf(50, 400));
  AdmissionJob added = JobOf(10, 400);
  added.job.priority = 1;
  for (AdmissionJob& other : burst) other.job.priority = 2;
  CHECK_FALSE(DecideAdmission(kPool, burst, added));
  for (AdmissionJob& other : burst) other.job.priority = 0;
  CHECK(DecideAdmission(kPool, burst, added));
}

TEST_CASE("What is unknown counts in favour of a job") {
  const std::vector<AdmissionJob> burst(20, JobOf(50, 400));
  SECTION("without engines") { CHECK_FALSE(DecideAdmission({}, burst, JobOf(10, 400))); }
  SECTION("without a time after which items are given up") {
    CHECK_FALSE(DecideAdmission(kPool, burst, JobOf(10, 1000, kNever)));
  }
  SECTION("without items") { CHECK_FALSE(DecideAdmission(kPool, burst, JobOf(0, 0))); }
  SECTION("with a group whose texts are all recorded") {
    AdmissionJob added = JobOf(10, 1000);
    added.job.items[3].remaining_events = 0;
    CHECK_FALSE(DecideAdmission(kPool, burst, added));
  }
}

TEST_CASE("Jobs whose items are given up soon leave their room") {
  const std::vector<AdmissionJob> old(20, JobOf(50, 400, 3));
  CHECK_FALSE(DecideAdmission(kPool, old, JobOf(10, 400)));
}

TEST_CASE("The scheduler rejects a job whose texts can't be complete in its items' lifetime") {
  PacedEngines fixture;
  fixture.AddEngine("e:1", 2, 0.1);
  fixture.Lead();
  fixture.Submit(fixture.JobOfTexts("warm", 2, 20));
  fixture.scheduler.RunFor(seconds(3));
  // 30 s at 0.1 s per event.
  const JobSpec too_long = fixture.JobOfTexts("long", 4, 800);
  const auto rejection = fixture.scheduler_under_test.RejectionOf(too_long);
  REQUIRE(rejection);
  CHECK(rejection->reason == JobRejectionReason::kTextsTooLong);
  CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(fixture.JobOfTexts("short", 4, 40)));
  SECTION("but not once it no longer leads") {
    fixture.scheduler_under_test.SetLeading(false);
    CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(too_long));
  }
  SECTION("but not while no engine answers") {
    fixture.RemoveEngine("e:1");
    CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(too_long));
  }
}

TEST_CASE("The scheduler rejects a job behind a backlog, and accepts one with a recorded text") {
  PacedEngines fixture;
  fixture.AddEngine("e:1", 2, 0.1);
  fixture.Lead();
  JobSpec first = fixture.JobOfTexts("first", 1, 40);
  fixture.Submit(first);
  fixture.scheduler.RunFor(seconds(5));
  fixture.End("first");
  for (int i = 0; i < 5; ++i) {
    fixture.Submit(fixture.JobOfTexts("backlog" + std::to_string(i), 40, 200));
  }
  JobSpec job = fixture.JobOfTexts("job", 4, 200);
  CHECK(fixture.scheduler_under_test.RejectionOf(job));
  job.items.push_back(first.items[0]);
  job.items.back().group = "recorded";
  CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(job));
}

TEST_CASE("Without shared steps no job is rejected") {
  PacedEngines fixture(JobSchedulerOptions{});
  fixture.AddEngine("e:1", 2, 0.1);
  fixture.Lead();
  CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(fixture.JobOfTexts("long", 4, 8000)));
}

}  // namespace
}  // namespace millstair
