/// The order of the queue, the metrics and the events of jobs that share engines by their lateness.
#include <catch2/catch.hpp>

#include "fmt/format.h"
#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kTokensPerEvent = 10;
constexpr auto kGap = milliseconds(30);

JobItem ItemOfEvents(const std::string& id, const std::string& group, uint64_t events) {
  JobItem item;
  item.id = ItemId(id);
  item.path = "/j/item";
  item.group = group;
  item.expected_tokens = events * kTokensPerEvent;
  return item;
}

/// One engine with one slot at e:1 that makes the number of events in the item's identifier, after
/// the last "-"; jobs are due after 2 s.
class SharingFixture : public JobSchedulerFixture {
 public:
  explicit SharingFixture(bool shares_steps = true)
      : JobSchedulerFixture({.shares_steps = shares_steps}) {
    reader.table.version = 2;
    reader.table.routes[0].job_deadline = seconds(2);
    reader.table.routes[0].priority = 2;
    reader.table.services[0].engine->tokens_per_event = kTokensPerEvent;
    reader.table.tenants = TenantDirectory(
        {{TenantName("urgent"), {"key-1"}, 0}, {TenantName("usual"), {"key-2"}, {}}});
    configuration.routing = {2, "other content"};
    AddEngine("e:1", 1, kGap);
  }

  void AddEngine(const std::string& address, uint32_t slots, Duration gap) {
    Add(address, "engines", [gap](const HttpRequest& request) {
      const std::string id(*FindHeader(request.headers, "id"));
      const size_t events = std::stoul(id.substr(id.rfind('-') + 1));
      const auto resume = FindHeader(request.headers, "resume");
      std::vector<std::string> pieces;
      for (size_t i = resume ? std::stoul(std::string(*resume)) + 1 : 1; i <= events; ++i) {
        pieces.push_back(fmt::format("{}||x\n\n", i));
      }
      FakeAnswer answer = Text(pieces);
      answer.gap = gap;
      return answer;
    });
    configuration.instances[InstanceId(address)].slots = slots;
    Update();
  }

  std::vector<std::string> OrderOfRuns() const {
    std::vector<std::string> order;
    for (const auto& call : backends.calls) {
      if (call->address == "e:1") order.emplace_back(*FindHeader(call->request.headers, "id"));
    }
    return order;
  }

  void End(const std::string& job) {
    group.Propose(EncodeJobCommand({EndJob{JobId(job), {}}, environment.WallNow()}),
                  [](const absl::StatusOr<std::string>&) {});
    scheduler.RunFor(milliseconds(10));
  }

  std::optional<double> Metric(const std::string& name) const {
    for (const StatSample& sample : stats.Read()) {
      if (sample.name.name == name) return sample.value;
    }
    return std::nullopt;
  }
};

/// A job of two groups of 10 and 40 events per item; the longer does not fit in 2 s.
JobSpec JobOfTwoGroups(const JobSchedulerFixture& fixture, const std::string& id) {
  JobSpec job = fixture.Job(id, false);
  job.items = {ItemOfEvents(id + "-a1-40", "a", 40), ItemOfEvents(id + "-a2-40", "a", 40),
               ItemOfEvents(id + "-b1-10", "b", 10), ItemOfEvents(id + "-b2-10", "b", 10)};
  return job;
}

// Guards the groups that can be in time against work on one that cannot.
TEST_CASE("Items of planned groups run before those of deferred ones") {
  SharingFixture fixture;
  fixture.Submit(JobOfTwoGroups(fixture, "j"));
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(4));
  CHECK(fixture.OrderOfRuns() ==
        std::vector<std::string>{"j-b1-10", "j-b2-10", "j-a1-40", "j-a2-40"});
}

TEST_CASE("Without sharing the longest texts run first, whether or not they can be in time") {
  SharingFixture fixture(false);
  fixture.Submit(JobOfTwoGroups(fixture, "j"));
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(4));
  CHECK(fixture.OrderOfRuns() ==
        std::vector<std::string>{"j-a1-40", "j-a2-40", "j-b1-10", "j-b2-10"});
  CHECK_FALSE(fixture.Metric("millstair_groups_deferred").has_value());
  CHECK_FALSE(fixture.Metric("millstair_step_lateness_seconds").has_value());
}

TEST_CASE("A deferred group of an urgent tenant precedes planned groups of others") {
  SharingFixture fixture;
  JobSpec usual = fixture.Job("usual", false);
  usual.tenant = TenantName("usual");
  usual.items = {ItemOfEvents("usual-10", "c", 10)};
  JobSpec urgent = JobOfTwoGroups(fixture, "urgent");
  urgent.tenant = TenantName("urgent");
  fixture.Submit(usual);
  fixture.Submit(urgent);
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(6));
  REQUIRE(fixture.OrderOfRuns().size() == 5);
  CHECK(fixture.OrderOfRuns().back() == "usual-10");
}

TEST_CASE("A changed priority applies to waiting items") {
  SharingFixture fixture;
  JobSpec first = fixture.Job("first", false);
  first.tenant = TenantName("usual");
  first.items = {ItemOfEvents("first-20", "a", 20), ItemOfEvents("first-19", "b", 19)};
  JobSpec second = fixture.Job("second", false);
  second.tenant = TenantName("urgent");
  second.items = {ItemOfEvents("second-10", "c", 10), ItemOfEvents("second-9", "d", 9)};
  fixture.Submit(first);
  fixture.Submit(second);
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(50));
  REQUIRE(fixture.OrderOfRuns() == std::vector<std::string>{"second-9"});
  fixture.reader.table.version = 3;
  fixture.reader.table.tenants =
      TenantDirectory({{TenantName("urgent"), {"key-1"}, 7}, {TenantName("usual"), {"key-2"}, {}}});
  fixture.configuration.routing = {3, "changed content"};
  fixture.Update();
  fixture.scheduler.RunFor(seconds(4));
  REQUIRE(fixture.OrderOfRuns().size() == 4);
  CHECK(fixture.OrderOfRuns().back() == "second-10");
}

TEST_CASE("Metrics show the latest job of a route and the deferred groups until the jobs end") {
  SharingFixture fixture;
  fixture.Submit(JobOfTwoGroups(fixture, "j"));
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.Metric("millstair_groups_deferred") == 1);
  CHECK(fixture.Metric("millstair_step_lateness_seconds") > 0);
  fixture.End("j");
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.Metric("millstair_groups_deferred") == 0);
  CHECK(fixture.Metric("millstair_step_lateness_seconds") == 0);
}

TEST_CASE("A replica that no longer leads reports no lateness") {
  SharingFixture fixture;
  fixture.Submit(JobOfTwoGroups(fixture, "j"));
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(100));
  REQUIRE(fixture.Metric("millstair_groups_deferred") == 1);
  fixture.scheduler_under_test.SetLeading(false);
  CHECK(fixture.Metric("millstair_groups_deferred") == 0);
  CHECK(fixture.Metric("millstair_step_lateness_seconds") == 0);
}

TEST_CASE("A new leader forecasts with its first pass, from saved texts too") {
  SharingFixture fixture;
  fixture.Submit(JobOfTwoGroups(fixture, "j"));
  // The previous leader saved nearly all of the long texts.
  for (const uint32_t item : {0U, 1U}) {
    std::string text = "x";
    for (int i = 1; i < 38; ++i) text += "\nx";
    const SavedProgress saved{{text, 38, {WeightVersion(1)}, WeightVersion(1)}, Term(1)};
    fixture.state.Apply(LogIndex(50 + item),
                        EncodeJobCommand({SaveProgress{{{JobId("j"), item, 0, saved}}}, {}}));
  }
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(50));
  REQUIRE(fixture.OrderOfRuns().size() == 1);
  CHECK(fixture.OrderOfRuns()[0].starts_with("j-a"));
  CHECK(fixture.Metric("millstair_groups_deferred") == 0);
}

// Without a required version any engine runs an item, whatever model it is assigned to.
TEST_CASE("Jobs of several models that allow any weights share the engines") {
  SharingFixture fixture;
  JobSpec other = fixture.Job("other", false);
  other.model = ModelName("unknown");
  other.items = {ItemOfEvents("other-30", "a", 30)};
  fixture.Submit(other);
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK(fixture.Metric("millstair_groups_deferred") == 0);
  CHECK(fixture.Metric("millstair_step_lateness_seconds") < 0);
  JobSpec job = fixture.Job("j", false);
  job.items = {ItemOfEvents("j-45", "a", 45)};
  fixture.Submit(job);
  fixture.scheduler.RunFor(milliseconds(300));
  CHECK(fixture.Metric("millstair_groups_deferred") == 1);
}

// Guards long texts whose estimate is too low: they start at slow engines.
TEST_CASE("A text with time to spare starts at a slow engine and moves once it is longer") {
  SharingFixture fixture;
  fixture.reader.table.version = 3;
  fixture.reader.table.routes[0].job_deadline = seconds(8);
  fixture.configuration.routing = {3, "changed content"};
  fixture.AddEngine("e:1", 2, milliseconds(60));
  fixture.AddEngine("e:2", 2, milliseconds(30));
  fixture.Lead();
  JobSpec warm_up = fixture.Job("warm-up", false);
  warm_up.items = {ItemOfEvents("a-9", "a", 9), ItemOfEvents("b-9", "b", 9)};
  fixture.Submit(warm_up);
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.backends.CountAt("e:1") == 1);
  REQUIRE(fixture.backends.CountAt("e:2") == 1);
  JobSpec job = fixture.Job("j", false);
  job.items = {ItemOfEvents("short-9", "c", 9), ItemOfEvents("long-60", "d", 9)};
  fixture.Submit(job);
  fixture.scheduler.RunFor(milliseconds(500));
  CHECK(fixture.backends.CountAt("e:1") == 3);
  CHECK(fixture.backends.CountAt("e:2") == 1);
  fixture.scheduler.RunFor(seconds(4));
  CHECK(fixture.backends.CountAt("e:1") == 3);
  REQUIRE(fixture.backends.CountAt("e:2") == 2);
  const auto& moved = fixture.backends.calls.back()->request;
  CHECK(FindHeader(moved.headers, "id") == "long-60");
  CHECK(std::stoul(std::string(*FindHeader(moved.headers, "resume"))) >= 9);
  CHECK(fixture.state.Find(JobId("j"))->results.size() == 2);
}

// Guards running texts, which are of use until their job is lost.
TEST_CASE("Runs of deferred groups are not cut when an engine falls silent") {
  SharingFixture fixture;
  fixture.Add("e:2", "engines",
              [](const HttpRequest&) { return FakeAnswer{FakeAnswer::Kind::kNoResponse}; });
  fixture.configuration.instances[InstanceId("e:2")].slots = 1;
  fixture.Update();
  // 2.7 s of events each; the job is due after 2 s.
  JobSpec job = fixture.Job("j", false);
  job.items = {ItemOfEvents("j-a-90", "a", 90), ItemOfEvents("j-b-90", "b", 90)};
  fixture.Submit(job);
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.OrderOfRuns().size() == 1);
  REQUIRE(fixture.state.Find(JobId("j"))->results.empty());
  CHECK(fixture.Metric("millstair_groups_deferred") == 2);
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.state.Find(JobId("j"))->results.size() == 2);
  CHECK(fixture.OrderOfRuns().size() == 2);
  for (const auto& call : fixture.backends.calls) {
    if (call->address == "e:1") CHECK_FALSE(call->cancelled);
  }
}

// Guards the free slots: an item of a spare group that waits for newer weights ends the search for
// further items of its job.
TEST_CASE("Items of a failed group run while spare ones wait for newer weights") {
  SharingFixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest& request) {
    const std::string id(*FindHeader(request.headers, "id"));
    FakeAnswer answer = Text({});
    answer.headers = {{"version", "4"}};
    answer.gap = kGap;
    if (id.starts_with("bad")) {
      answer.status = 422;
      answer.delay = milliseconds(400);
    }
    const size_t events = std::stoul(id.substr(id.rfind('-') + 1));
    for (size_t i = 1; i <= events; ++i) answer.pieces.push_back(fmt::format("{}||x\n\n", i));
    return answer;
  });
  fixture.configuration.instances[InstanceId("e:1")].slots = 1;
  fixture.Lead();
  // Two jobs with the same item establish a lag of two versions.
  for (const uint64_t version : {1U, 3U}) {
    JobSpec earlier = fixture.Job(fmt::format("earlier-{}", version), false);
    earlier.min_version = WeightVersion(version);
    earlier.items = {ItemOfEvents("returns-1", "r", 1)};
    fixture.Submit(earlier);
    fixture.End(earlier.id.value());
  }
  fixture.configuration.versions[ModelName("m")].version = WeightVersion(4);
  fixture.Update();
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(4));
  JobSpec job = fixture.Job("j", false);
  job.min_version = WeightVersion(3);
  job.wanted_groups = 1;
  job.items = {ItemOfEvents("bad-60", "a", 60), ItemOfEvents("other-20", "a", 20),
               ItemOfEvents("spare-90", "b", 90)};
  fixture.Submit(job);
  fixture.scheduler.RunFor(milliseconds(100));
  // Takes the slot until the forecast knows of the failure.
  JobSpec urgent = fixture.Job("urgent", false);
  urgent.tenant = TenantName("urgent");
  urgent.min_version = WeightVersion(3);
  urgent.items = {ItemOfEvents("urgent-30", "u", 30)};
  fixture.Submit(urgent);
  fixture.scheduler.RunFor(seconds(2));
  const std::vector<std::string> order = fixture.OrderOfRuns();
  REQUIRE(order.size() >= 3);
  CHECK(std::vector(order.end() - 3, order.end()) ==
        std::vector<std::string>{"bad-60", "urgent-30", "other-20"});
}

}  // namespace
}  // namespace millstair
