#include "metering/usage_counter.h"

#include <catch2/catch.hpp>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantName kTenant("a");

/// Simulates a cluster that commits reports and whose agreed time is `ahead` of the node's steady
/// clock.
class Fixture {
 public:
  Fixture()
      : counter(
            environment, {NodeId("g"), Incarnation(3), seconds(5)},
            [this](const UsageReport& report, std::function<void(bool)> done) {
              sent.push_back(report);
              scheduler.Schedule(milliseconds(3), [this, done] { done(commits); });
            },
            [this](WallTime, std::function<void(std::optional<WallTime>)> done) {
              ++queries;
              scheduler.Schedule(milliseconds(2), [this, done] { done(Agreed(-milliseconds(1))); });
            }) {}

  std::optional<WallTime> Agreed(Duration since) const {
    if (!time_known) return std::nullopt;
    const Duration now = environment.Now().time_since_epoch() + since + ahead;
    return WallTime(std::chrono::duration_cast<milliseconds>(now));
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  bool commits = true;
  bool time_known = true;
  Duration ahead = seconds(1'000'000);
  int queries = 0;
  std::vector<UsageReport> sent;
  UsageCounter counter;
};

TEST_CASE(
    "Requests are reported once, in their windows, together with those that start meanwhile") {
  Fixture fixture;
  fixture.counter.Start();
  fixture.scheduler.RunFor(milliseconds(10));
  const TimePoint now = fixture.environment.Now();
  fixture.counter.OnRequestStarted(kTenant, now);
  fixture.counter.OnRequestStarted(kTenant, now);
  fixture.counter.OnRequestStarted(TenantName("b"), now - seconds(5));
  fixture.scheduler.RunFor(milliseconds(490));
  CHECK(fixture.sent.empty());
  CHECK(fixture.counter.uncommitted() == 3);
  fixture.scheduler.RunFor(seconds(5));
  REQUIRE(fixture.sent.size() == 1);
  const UsageReport& report = fixture.sent[0];
  CHECK(report.gateway == NodeId("g"));
  CHECK(report.incarnation == Incarnation(3));
  CHECK(report.sequence == 1);
  REQUIRE(report.counts.size() == 2);
  CHECK(report.counts[0].tenant == TenantName("b"));
  CHECK(report.counts[1].requests == 2);
  CHECK(report.counts[1].window == Next(report.counts[0].window));
  CHECK(fixture.counter.uncommitted() == 0);
}

TEST_CASE("A report that may not be committed is sent again unchanged, and nothing overtakes it") {
  Fixture fixture;
  fixture.counter.Start();
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.commits = false;
  fixture.counter.OnRequestStarted(kTenant, fixture.environment.Now());
  fixture.scheduler.RunFor(milliseconds(600));
  fixture.counter.OnRequestStarted(kTenant, fixture.environment.Now());
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.sent.size() >= 3);
  for (const UsageReport& report : fixture.sent) CHECK(report == fixture.sent[0]);
  CHECK(fixture.counter.uncommitted() == 2);
  fixture.commits = true;
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.sent.back().sequence == 2);
  CHECK(fixture.counter.uncommitted() == 0);
}

TEST_CASE(
    "Requests counted before the time is known are reported later, in the window of their start") {
  Fixture fixture;
  fixture.time_known = false;
  fixture.counter.Start();
  fixture.counter.OnRequestStarted(kTenant, fixture.environment.Now());
  const WallTime started_at = WallTime(std::chrono::duration_cast<milliseconds>(
      fixture.environment.Now().time_since_epoch() + fixture.ahead));
  fixture.scheduler.RunFor(seconds(8));
  CHECK(fixture.sent.empty());
  fixture.time_known = true;
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.sent.size() == 1);
  CHECK(fixture.sent[0].counts[0].window == WindowAt(started_at, seconds(5)));
}

TEST_CASE("The time is queried often until it is known, and rarely afterwards") {
  Fixture fixture;
  fixture.time_known = false;
  fixture.counter.Start();
  fixture.scheduler.RunFor(milliseconds(2600));
  CHECK(fixture.queries == 6);
  fixture.time_known = true;
  fixture.scheduler.RunFor(milliseconds(500));
  fixture.queries = 0;
  fixture.scheduler.RunFor(seconds(30));
  CHECK(fixture.queries == 10);
}

TEST_CASE("A node that leaves reports at once") {
  Fixture fixture;
  fixture.counter.Start();
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.counter.OnRequestStarted(kTenant, fixture.environment.Now());
  fixture.counter.SetLeaving();
  CHECK(fixture.sent.size() == 1);
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.counter.OnRequestStarted(kTenant, fixture.environment.Now());
  fixture.scheduler.RunFor(milliseconds(25));
  CHECK(fixture.sent.size() == 2);
}

TEST_CASE("Requests without a tenant are not metered, and none are without a window") {
  Fixture fixture;
  fixture.counter.Start();
  fixture.counter.OnRequestStarted(TenantName(), fixture.environment.Now());
  CHECK(fixture.counter.uncommitted() == 0);
  UsageCounter off(
      fixture.environment, {NodeId("g"), Incarnation(1), Duration(0)},
      [](const UsageReport&, const std::function<void(bool)>&) { FAIL("reported"); },
      [](WallTime, const std::function<void(std::optional<WallTime>)>&) { FAIL("asked"); });
  off.Start();
  off.OnRequestStarted(kTenant, fixture.environment.Now());
  fixture.scheduler.RunFor(seconds(5));
  CHECK(off.uncommitted() == 0);
}

}  // namespace
}  // namespace millstair
