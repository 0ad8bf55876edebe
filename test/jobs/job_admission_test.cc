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
  const auto rejection = DecideAdmission(kPool, {}, JobOf(10, 2100));
  REQUIRE(rejection);
  CHECK(rejection->reason == JobRejectionReason::kTextsTooLong);
  // Estimates are off by more than a factor of two often.
  CHECK_FALSE(DecideAdmission(kPool, {}, JobOf(10, 1900)));
  // One group that fits is enough.
  AdmissionJob mixed = JobOf(10, 2100);
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
  const auto retry_after = [](double events) {
    const std::vector<AdmissionJob> burst(52, JobOf(1, 37.692));
    const auto rejection = DecideAdmission(kPool, burst, JobOf(4, events));
    return rejection ? ToSeconds(rejection->retry_after) : 0.0;
  };
  // The backlog takes 39.2 s if it is as small as it may be; a text needs a fifth of its expected
  // time.
  CHECK(retry_after(400) == Approx(39.2 + 8 - 40).margin(0.01));
  CHECK(retry_after(200) == Approx(39.2 + 4 - 40).margin(0.01));
}

// The errors of a few estimates don't average out.
TEST_CASE("A backlog of few texts may need a fifth of its expected time") {
  const auto burst = [](size_t texts, double events) {
    return std::vector<AdmissionJob>(texts, JobOf(1, events));
  };
  // 49 s of expected work for each slot.
  CHECK_FALSE(DecideAdmission(kPool, burst(49, 40), JobOf(4, 400)));
  CHECK(DecideAdmission(kPool, burst(50, 40), JobOf(4, 400)));
}

// Guards against a few long texts that count as a backlog of all slots.
TEST_CASE("A job is accepted while fewer texts than slots are open") {
  const ForecastPool many_slots{{{64, 0.1}}};
  std::vector<AdmissionJob> open(63, JobOf(1, 20000));
  CHECK_FALSE(DecideAdmission(many_slots, open, JobOf(4, 410)));
  open.resize(70, open.back());
  CHECK(DecideAdmission(many_slots, open, JobOf(4, 410)));
}

// Each job has the same share of the time until items are given up.
TEST_CASE("A job is accepted if the forecast plans a group until its items are given up") {
  const std::vector<AdmissionJob> open(1, JobOf(1000, 100));
  CHECK_FALSE(DecideAdmission(kPool, open, JobOf(4, 100)));
}

TEST_CASE("A carried or spare group that fits is enough") {
  AdmissionJob job = JobOf(3, 2100);
  REQUIRE(DecideAdmission(kPool, {}, job));
  job.job.items[1].remaining_events = 20;
  SECTION("carried") { job.job.groups[1].carried = true; }
  SECTION("spare") { job.job.groups[1].spare = true; }
  CHECK_FALSE(DecideAdmission(kPool, {}, job));
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
  // A fifth of it takes 32 s, and items are given up after 30 s.
  const JobSpec too_long = fixture.JobOfTexts("long", 4, 1600);
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

/// Slots are busy with texts of the model "m" for far longer than items live.
class Backlogged : public PacedEngines {
 public:
  Backlogged() {
    AddEngine("e:1", 2, 0.1);
    Lead();
    Submit(JobOfTexts("warm", 2, 20));
    scheduler.RunFor(seconds(3));
    for (int i = 0; i < 5; ++i) Submit(Versioned("m", "backlog" + std::to_string(i), 40, 200));
  }

  JobSpec Versioned(const std::string& model, const std::string& id, size_t texts,
                    uint64_t events = 240) const {
    JobSpec job = JobOfTexts(id, texts, events);
    job.model = ModelName(model);
    job.min_version = WeightVersion(1);
    return job;
  }
  bool Rejects(const JobSpec& job) const {
    return scheduler_under_test.RejectionOf(job).has_value();
  }
};

// An idle model's engines are free, whatever waits for those of another model.
TEST_CASE("A backlog of one model does not reject jobs of another") {
  const Backlogged fixture;
  CHECK(fixture.Rejects(fixture.Versioned("m", "same", 4)));
  CHECK_FALSE(fixture.Rejects(fixture.Versioned("n", "other", 4)));
  JobSpec any = fixture.Versioned("m", "any", 4);
  any.min_version = WeightVersion();
  CHECK_FALSE(fixture.Rejects(any));
}

// The time for which the leader stood still does not show how far the runs are.
TEST_CASE("A leader that was suspended rejects nothing for a second") {
  Backlogged fixture;
  const JobSpec job = fixture.Versioned("m", "job", 4);
  fixture.environment.Suspend();
  fixture.scheduler.RunFor(milliseconds(400));
  CHECK_FALSE(fixture.Rejects(job));
  fixture.environment.Wake();
  fixture.scheduler.RunFor(milliseconds(900));
  CHECK_FALSE(fixture.Rejects(job));
  fixture.scheduler.RunFor(milliseconds(300));
  CHECK(fixture.Rejects(job));
}

TEST_CASE("A job is accepted while no pace is measured") {
  PacedEngines fixture;
  fixture.AddEngine("e:1", 2, 0.1);
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(1));
  CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(fixture.JobOfTexts("long", 4, 8000)));
}

// It may answer again before the items are given up.
TEST_CASE("An engine that failed lately counts with its last pace") {
  PacedEngines fixture;
  fixture.AddEngine("e:1", 2, 0.02);
  fixture.AddEngine("e:2", 2, 0.5);
  fixture.Lead();
  fixture.Submit(fixture.JobOfTexts("warm", 4, 6));
  fixture.scheduler.RunFor(seconds(5));
  BackendDirectory& directory = fixture.ingress.directory();
  for (int i = 0; i < 20; ++i) {
    directory.Begin(InstanceId("e:1"));
    directory.End(InstanceId("e:1"), BackendEnd::kFailed, milliseconds(10));
  }
  REQUIRE(directory.Ejected(InstanceId("e:1")));
  // 40 s at the slow engine for a fifth of the text.
  CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(fixture.JobOfTexts("long", 4, 400)));
}

TEST_CASE("Without shared steps no job is rejected") {
  PacedEngines fixture(JobSchedulerOptions{});
  fixture.AddEngine("e:1", 2, 0.1);
  fixture.Lead();
  CHECK_FALSE(fixture.scheduler_under_test.RejectionOf(fixture.JobOfTexts("long", 4, 8000)));
}

}  // namespace
}  // namespace millstair
