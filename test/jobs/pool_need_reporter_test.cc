#include "jobs/pool_need_reporter.h"

#include <catch2/catch.hpp>

#include "test/jobs/fake_group.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Fixture {
 public:
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  FakeGroup group{scheduler, nullptr};
  bool reachable = true;
  std::vector<PoolNeed> needs{{ServiceName("s"), 0, 1, -2.0, 7.5}};
  std::vector<PoolReport> sent;
  std::vector<std::function<void(absl::Status)>> unanswered;
  PoolNeedReporter reporter{environment, [this] { return needs; },
                            [this](ReportPoolNeeds report, std::function<void(absl::Status)> done) {
                              sent.push_back(std::move(report.report));
                              if (reachable) return done(absl::OkStatus());
                              unanswered.push_back(std::move(done));
                            }};
};

TEST_CASE("Calm reports are far less frequent than reports count as absent, and late ones follow") {
  Fixture fixture;
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(seconds(2) - milliseconds(1));
  CHECK(fixture.sent.empty());
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.sent.size() == 5);
  CHECK(fixture.sent[4] == PoolReport{Term(3), 5, fixture.needs});
  fixture.needs[0].lateness_seconds = 0.5;
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.sent.size() == 9);
}

TEST_CASE("A replica that does not lead, or has nothing to report, reports nothing") {
  Fixture fixture;
  SECTION("another replica leads") { fixture.group.leader = false; }
  SECTION("no service has servers that can be ordered") { fixture.needs.clear(); }
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.sent.empty());
}

TEST_CASE("A leader that lost its group stops reporting") {
  Fixture fixture;
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(fixture.sent.size() == 1);
  fixture.reporter.SetLeading(nullptr);
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.sent.size() == 1);
}

TEST_CASE("Reports do not pile up while the cluster group does not answer") {
  Fixture fixture;
  fixture.reachable = false;
  fixture.reporter.SetLeading(&fixture.group);
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.sent.size() == 1);
  fixture.unanswered[0](absl::DeadlineExceededError("no answer"));
  fixture.scheduler.RunFor(milliseconds(500));
  CHECK(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].sequence == 2);
}

}  // namespace
}  // namespace millstair
