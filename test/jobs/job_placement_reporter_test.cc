#include "jobs/job_placement_reporter.h"

#include <catch2/catch.hpp>

#include "test/jobs/fake_group.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Fixture {
 public:
  Fixture() { group.members = {{ReplicaId(1), NodeId("a"), "a", true}}; }

  void Propose(PlaceJobGroup place, std::function<void(absl::Status)> done) {
    proposed.push_back(std::move(place));
    scheduler.Schedule(milliseconds(5), [this, done] {
      done(reachable ? absl::OkStatus() : absl::DeadlineExceededError("no answer"));
    });
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  FakeGroup group{scheduler, nullptr};
  bool reachable = true;
  std::vector<PlaceJobGroup> proposed;
  JobPlacementReporter reporter{
      environment, NodeId("a"),
      [this](PlaceJobGroup place, std::function<void(absl::Status)> done) {
        Propose(std::move(place), std::move(done));
      }};
};

TEST_CASE("A leader reports the placement of its group at once, and only once") {
  Fixture fixture;
  fixture.reporter.SetLeading(&fixture.group);
  REQUIRE(fixture.proposed.size() == 1);
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.proposed.size() == 1);
  CHECK(fixture.proposed[0].group == GroupId("jobs/0"));
  CHECK(fixture.proposed[0].placement.leader == NodeId("a"));
  CHECK(fixture.proposed[0].placement.term == Term(3));
  CHECK(fixture.proposed[0].placement.members == fixture.group.members);
}

TEST_CASE("A change of the members is reported with a higher sequence number") {
  Fixture fixture;
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(seconds(1));
  fixture.group.members.push_back({ReplicaId(2), NodeId("b"), "b", false});
  fixture.scheduler.RunFor(milliseconds(200));
  REQUIRE(fixture.proposed.size() == 2);
  CHECK(fixture.proposed[1].placement.sequence > fixture.proposed[0].placement.sequence);
  CHECK(fixture.proposed[1].placement.members.size() == 2);
}

TEST_CASE("A report without acknowledgement is repeated") {
  Fixture fixture;
  fixture.reachable = false;
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(milliseconds(350));
  CHECK(fixture.proposed.size() > 1);
  fixture.reachable = true;
  fixture.scheduler.RunFor(milliseconds(200));
  const size_t reported = fixture.proposed.size();
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.proposed.size() == reported);
}

TEST_CASE("A replica that does not lead reports nothing") {
  Fixture fixture;
  fixture.group.leader = false;
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.proposed.empty());
}

}  // namespace
}  // namespace millstair
