/// What a new leader of a job group knows at its first scheduling pass: the paces of engines,
/// expected lengths, lateness and saved texts.
#include <catch2/catch.hpp>

#include "test/jobs/paced_engines.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kFast = 0.03;
constexpr double kSlow = 0.12;

/// Two slow engines and a fast one, whose paces the leader has recorded. The fast one has the last
/// identifier, so that it is not the first choice among engines of unknown pace.
class LeaderChange : public PacedEngines {
 public:
  explicit LeaderChange(JobSchedulerOptions options = {.shares_steps = true})
      : PacedEngines(options) {
    AddEngine("e:1", 8, kSlow);
    AddEngine("e:2", 8, kSlow);
    AddEngine("e:3", 8, kFast);
    Lead();
    Submit(JobOfTexts("warm", 24, 20));
    scheduler.RunFor(seconds(5));
    End("warm");
  }

  void SubmitLongText() {
    JobSpec job = Job("long", false);
    job.items = {PacedItem("long", "g", 60)};
    Submit(job);
  }
};

TEST_CASE("The leader records the paces of engines") {
  const LeaderChange fixture;
  CHECK(fixture.RecordedPace("e:1") == Approx(kSlow).epsilon(0.05));
  CHECK(fixture.RecordedPace("e:2") == Approx(kSlow).epsilon(0.05));
  CHECK(fixture.RecordedPace("e:3") == Approx(kFast).epsilon(0.05));
}

TEST_CASE("Without shared steps no pace is recorded") {
  const LeaderChange fixture(JobSchedulerOptions{});
  CHECK(fixture.state.engine_paces().empty());
  CHECK_FALSE(fixture.Metric("millstair_engine_paces_restored").has_value());
}

// A text of 60 events takes 7.2 s at a slow engine, and its job is due after 4 s.
TEST_CASE("The first pass of a new leader sends a long text to a fast engine") {
  LeaderChange fixture;
  fixture.scheduler_under_test.SetLeading(false);
  fixture.SubmitLongText();
  fixture.ChangeLeader();
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.EnginesOf("long-60") == std::vector<std::string>{"e:3"});
  CHECK(fixture.Metric("millstair_engine_paces_restored") == 3);
}

TEST_CASE("The restored paces reach a leader through a snapshot") {
  LeaderChange fixture;
  fixture.scheduler_under_test.SetLeading(false);
  const std::string snapshot = fixture.state.TakeSnapshot();
  REQUIRE(fixture.state.Restore(LogIndex(500), snapshot).ok());
  fixture.SubmitLongText();
  fixture.ChangeLeader();
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.EnginesOf("long-60") == std::vector<std::string>{"e:3"});
}

// Guards against a restored pace that outweighs what the new leader measures.
TEST_CASE("A pace that changed with the leader is replaced within a few intervals") {
  LeaderChange fixture;
  fixture.scheduler_under_test.SetLeading(false);
  fixture.paces["e:3"] = 4 * kSlow;
  fixture.paces["e:1"] = kFast;
  fixture.ChangeLeader();
  fixture.Submit(fixture.JobOfTexts("probe", 24, 6));
  // Five intervals of the slowest engine.
  fixture.scheduler.RunFor(FromSeconds(6 * 4 * kSlow));
  fixture.SubmitLongText();
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.EnginesOf("long-60") == std::vector<std::string>{"e:1"});
}

TEST_CASE("A new leader resumes a saved text within a second") {
  LeaderChange fixture;
  fixture.SubmitLongText();
  fixture.scheduler.RunFor(seconds(1));
  const auto& progress = fixture.state.Find(JobId("long"))->progress;
  REQUIRE(progress.contains(0));
  const uint64_t saved = progress.at(0).events;
  REQUIRE(saved > 0);
  const Duration changed_at = fixture.scheduler.Now();
  fixture.ChangeLeader();
  fixture.scheduler.RunFor(milliseconds(100));
  REQUIRE(fixture.EnginesOf("long-60").size() == 2);
  const auto& resumed = fixture.backends.calls.back();
  CHECK(resumed->at - changed_at < seconds(1));
  CHECK(FindHeader(resumed->request.headers, "resume") == std::to_string(saved));
}

// The mean pace of the engines is 0.06 s: a text of 40 events needs 2.4 s, one of 20 only 1.2 s.
TEST_CASE("The first forecast of a new leader uses the lengths that the last one measured") {
  LeaderChange fixture;
  JobSpec first = fixture.Job("first", false);
  first.items = {PacedItem("known", "g", 40)};
  first.items[0].expected_tokens = 20 * kPacedTokensPerEvent;
  fixture.Submit(first);
  fixture.scheduler.RunFor(seconds(8));
  REQUIRE(fixture.ResultOf("first") != nullptr);
  fixture.End("first");
  fixture.scheduler_under_test.SetLeading(false);
  // Its weights are too new for the recorded text.
  JobSpec second = first;
  second.id = JobId("second");
  second.min_version = WeightVersion(2);
  fixture.Submit(second);
  fixture.ChangeLeader();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK(fixture.Metric("millstair_step_lateness_seconds").value() == Approx(2.4 - 4).margin(0.3));
}

TEST_CASE("Engines that are gone are removed from the recorded paces and not restored") {
  LeaderChange fixture;
  fixture.RemoveEngine("e:2");
  SECTION("the leader removes them") {
    fixture.scheduler.RunFor(kPaceRecordInterval + milliseconds(100));
    CHECK_FALSE(fixture.RecordedPace("e:2").has_value());
    CHECK(fixture.RecordedPace("e:1").has_value());
  }
  SECTION("a new leader does not start with them") {
    fixture.ChangeLeader();
    fixture.scheduler.RunFor(milliseconds(100));
    CHECK(fixture.Metric("millstair_engine_paces_restored") == 2);
  }
}

/// Seconds from now until a text that starts at e:3, the fast engine, is continued elsewhere, if
/// that engine stops sending events after 10 of them. -1 if it is not within 3 s.
double SecondsUntilMoved(LeaderChange& fixture) {
  fixture.SubmitLongText();
  fixture.scheduler.RunFor(FromSeconds(10.5 * kFast));
  REQUIRE(fixture.EnginesOf("long-60") == std::vector<std::string>{"e:3"});
  fixture.backends.silent.insert("e:3");
  const Duration silent_at = fixture.scheduler.Now();
  while (fixture.scheduler.Now() < silent_at + seconds(3)) {
    fixture.scheduler.RunFor(milliseconds(10));
    if (fixture.EnginesOf("long-60").size() > 1) {
      return ToSeconds(fixture.scheduler.Now() - silent_at);
    }
  }
  return -1;
}

// The stall timeout is 25 intervals and at least a second.
TEST_CASE("A text is continued elsewhere within a few intervals after its engine fell silent") {
  LeaderChange fixture;
  const double seconds_until_moved = SecondsUntilMoved(fixture);
  CHECK(seconds_until_moved > 0);
  CHECK(seconds_until_moved <= 10 * kFast);
}

TEST_CASE("A new leader detects a silent engine as early as the last one") {
  LeaderChange fixture;
  fixture.ChangeLeader();
  fixture.scheduler.RunFor(milliseconds(20));
  const double seconds_until_moved = SecondsUntilMoved(fixture);
  CHECK(seconds_until_moved > 0);
  CHECK(seconds_until_moved <= 10 * kFast);
}

// Guards against slots of a silent engine that new texts wait in.
TEST_CASE("A silent engine gets work last until it sends events again") {
  LeaderChange fixture;
  SecondsUntilMoved(fixture);
  JobSpec next = fixture.Job("next", false);
  next.items = {PacedItem("next", "g", 30)};
  fixture.Submit(next);
  fixture.scheduler.RunFor(milliseconds(50));
  REQUIRE(fixture.EnginesOf("next-30").size() == 1);
  CHECK(fixture.EnginesOf("next-30")[0] != "e:3");
}

// A silence lasts as long as a fault; as a pace it would outlive it.
TEST_CASE("A silence is not recorded as a pace") {
  LeaderChange fixture;
  REQUIRE(SecondsUntilMoved(fixture) > 0);
  fixture.scheduler.RunFor(kPaceRecordInterval + milliseconds(100));
  CHECK(fixture.RecordedPace("e:3") == Approx(kFast).epsilon(0.05));
}

// Guards against an engine that answers again and gets no work to show it.
TEST_CASE("A silent engine without runs gets work again after some seconds") {
  LeaderChange fixture;
  REQUIRE(SecondsUntilMoved(fixture) > 0);
  fixture.backends.silent.clear();
  JobSpec keep = fixture.Job("keep", false);
  keep.items = {PacedItem("keep", "g", 80)};
  fixture.Submit(keep);
  fixture.scheduler.RunFor(seconds(6));
  JobSpec next = fixture.Job("next", false);
  next.items = {PacedItem("next", "g", 60)};
  fixture.Submit(next);
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK(fixture.EnginesOf("next-60") == std::vector<std::string>{"e:3"});
}

// Events that arrived during the pause are read after the pass.
TEST_CASE("A pause of the leader does not count as a silence of its engines") {
  LeaderChange fixture;
  fixture.SubmitLongText();
  fixture.scheduler.RunFor(FromSeconds(10.5 * kFast));
  fixture.backends.silent.insert("e:3");
  fixture.environment.Suspend();
  fixture.scheduler.RunFor(milliseconds(400));
  fixture.environment.Wake();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK(fixture.EnginesOf("long-60") == std::vector<std::string>{"e:3"});
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.EnginesOf("long-60").size() == 2);
}

// Prompts are read before the first event, and other runs pause meanwhile.
TEST_CASE("An engine that reads the prompt of a new run is not silent") {
  LeaderChange fixture;
  fixture.SubmitLongText();
  fixture.scheduler.RunFor(FromSeconds(10.5 * kFast));
  fixture.backends.silent.insert("e:3");
  JobSpec next = fixture.Job("next", false);
  next.items = {PacedItem("next", "g", 60)};
  fixture.Submit(next);
  fixture.scheduler.RunFor(milliseconds(600));
  REQUIRE(fixture.EnginesOf("next-60") == std::vector<std::string>{"e:3"});
  CHECK(fixture.EnginesOf("long-60") == std::vector<std::string>{"e:3"});
}

}  // namespace
}  // namespace millstair
