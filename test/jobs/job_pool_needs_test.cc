/// What a job scheduler reports about services whose servers can be ordered.
#include <catch2/catch.hpp>

#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kTokensPerEvent = 10;

/// One engine of two slots, whose runs take 6 s; jobs are due after 2 s.
class NeedsFixture : public JobSchedulerFixture {
 public:
  explicit NeedsFixture(bool scalable = true) : JobSchedulerFixture({.shares_steps = true}) {
    reader.table.version = 2;
    reader.table.routes[0].job_deadline = seconds(2);
    Service& engines = reader.table.services[0];
    engines.engine->tokens_per_event = kTokensPerEvent;
    if (scalable) engines.scaling = ServiceScaling{1, 4, seconds(1), 0.2, {}};
    configuration.routing = {2, "other content"};
    Add("e:1", "engines", [](const HttpRequest&) {
      FakeAnswer answer = Text(std::vector<std::string>(60, "1||x\n\n"));
      answer.gap = milliseconds(100);
      return answer;
    });
    configuration.instances[InstanceId("e:1")].slots = 2;
    Update();
  }

  JobSpec JobOf(size_t items) const {
    JobSpec job = Job("j", false);
    job.items.clear();
    for (size_t i = 0; i < items; ++i) {
      JobItem item;
      item.id = ItemId("i" + std::to_string(i));
      item.path = "/j/item";
      item.group = "g" + std::to_string(i);
      item.expected_tokens = 60 * kTokensPerEvent;
      job.items.push_back(item);
    }
    return job;
  }
};

TEST_CASE("Late steps are reported with the slots that they lack") {
  NeedsFixture fixture;
  fixture.Submit(fixture.JobOf(12));
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(50));
  const std::vector<PoolNeed> needs = fixture.scheduler_under_test.PoolNeeds();
  REQUIRE(needs.size() == 1);
  CHECK(needs[0].service == ServiceName("engines"));
  CHECK(needs[0].busy_slots == 2);
  REQUIRE(needs[0].lateness_seconds.has_value());
  CHECK(*needs[0].lateness_seconds > 0);
  CHECK(needs[0].missing_slots > 0);
  CHECK(needs[0].missing_slots <= 10);
  CHECK(needs[0].useful_within_seconds == 2);
}

TEST_CASE("An idle group reports its services, so that servers can be released") {
  NeedsFixture fixture;
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(50));
  const std::vector<PoolNeed> needs = fixture.scheduler_under_test.PoolNeeds();
  REQUIRE(needs.size() == 1);
  CHECK(needs[0] == PoolNeed{ServiceName("engines"), 0, 0, std::nullopt, 0, 2});
}

TEST_CASE("The slots of a lost engine are not reported as responding") {
  NeedsFixture fixture;
  fixture.Lead();
  fixture.backends.Serve(
      "e:1", [](const HttpRequest&) { return FakeAnswer{FakeAnswer::Kind::kUnreachable}; });
  for (int i = 0; i < 2; ++i) {
    fixture.ingress.directory().Begin(InstanceId("e:1"));
    fixture.ingress.directory().End(InstanceId("e:1"), BackendEnd::kUnreachable, Duration(0));
  }
  fixture.scheduler.RunFor(seconds(5));
  REQUIRE_FALSE(fixture.ingress.directory().Ejected(InstanceId("e:1")));
  const std::vector<PoolNeed> needs = fixture.scheduler_under_test.PoolNeeds();
  REQUIRE(needs.size() == 1);
  CHECK(needs[0].answering_slots == 0);
}

TEST_CASE("Nothing is reported without servers to order, or by a replica that does not lead") {
  NeedsFixture fixed(false);
  fixed.Submit(fixed.JobOf(12));
  fixed.Lead();
  fixed.scheduler.RunFor(milliseconds(50));
  CHECK(fixed.scheduler_under_test.PoolNeeds().empty());
  NeedsFixture follower;
  follower.Submit(follower.JobOf(12));
  follower.scheduler.RunFor(milliseconds(50));
  CHECK(follower.scheduler_under_test.PoolNeeds().empty());
}

}  // namespace
}  // namespace millstair
