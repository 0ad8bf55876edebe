#include "ingress/request_guard.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fmt/format.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/fake_register.h"

namespace millstair {
namespace {

using Kind = FakeAnswer::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

const RequestFingerprint kRequest("r");
const GuardedRequest kGuarded{kRequest, "a.example/p"};

class Fixture {
 public:
  Fixture() {
    guard.SetRegister(&cluster);
    backends.Serve("here:1", [](const HttpRequest&) { return FakeAnswer(); });
    backends.Serve("other:1", [](const HttpRequest&) {
      return FakeAnswer{Kind::kAnswer, 200, {{"instance", "another life"}}};
    });
    backends.Serve("silent:1", [](const HttpRequest&) { return FakeAnswer{Kind::kSilence}; });
    backends.Serve("resets:1", [](const HttpRequest&) { return FakeAnswer{Kind::kReset}; });
  }

  /// `address` got the request and lost it; what that is taken for is known after.
  void Lose(const std::string& address) {
    guard.OnLost(kGuarded, LiveInstance(address, "pages"));
    scheduler.RunFor(milliseconds(200));
  }

  /// The cluster's record of the request.
  void Know(std::vector<std::string> crashed, uint32_t trials = 0, uint64_t revision = 7) {
    SuspectRequest record;
    record.request = kRequest;
    record.place = kGuarded.place;
    record.trials = trials;
    record.crashes_before_trials = kCrashesToHold;
    record.changed_at = Revision(revision);
    for (std::string& name : crashed) record.crashed.emplace_back(std::move(name));
    guard.Update({{kRequest, record}});
  }

  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  FakeRegister cluster;
  RequestGuard guard{environment, backends, protocol, [](const ServiceName&) { return "/healthz"; },
                     nullptr};
};

TEST_CASE("Only a life that has ended is held against a request") {
  Fixture fixture;
  for (const char* address : {"here:1", "silent:1", "resets:1"}) {
    fixture.Lose(address);
    CHECK(fixture.guard.Judge(kRequest).count.crashes == 0);
  }
  CHECK(fixture.guard.idle());
  fixture.Lose("other:1");
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 1);
  fixture.Lose("nobody:1");
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 2);
  CHECK(fixture.guard.MayBeSuspect("a.example/p"));
  CHECK_FALSE(fixture.guard.MayBeSuspect("a.example/q"));
}

TEST_CASE("One question is asked of a life for all that it lost") {
  Fixture fixture;
  for (const char* name : {"r1", "r2", "r3"}) {
    fixture.guard.OnLost({RequestFingerprint(name), name}, LiveInstance("nobody:1", "pages"));
  }
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.backends.CountAt("nobody:1") == 1);
  for (const char* name : {"r1", "r2", "r3"}) {
    CHECK(fixture.guard.Judge(RequestFingerprint(name)).count.crashes == 1);
  }
}

TEST_CASE("A request waits for the verdict that may hold it, and for no other") {
  Fixture fixture;
  fixture.guard.OnLost(kGuarded, LiveInstance("nobody:1", "pages"));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kSend);
  fixture.scheduler.RunFor(milliseconds(200));
  fixture.guard.OnLost(kGuarded, LiveInstance("nobody:2", "pages"));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kWait);
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
}

TEST_CASE("A single crash is reported once its caller gets no further try here") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  CHECK(fixture.cluster.reported.empty());
  SECTION("the request is given up") {
    fixture.guard.OnGivenUp(kRequest);
    REQUIRE(fixture.cluster.reported.size() == 1);
    CHECK(fixture.cluster.reported[0].crashed == std::vector{InstanceId("nobody:1")});
    CHECK(fixture.cluster.reported[0].place == "a.example/p");
  }
  SECTION("it is answered by the next back end") {
    fixture.guard.OnServed(kRequest);
    fixture.guard.OnGivenUp(kRequest);
    CHECK(fixture.cluster.reported.empty());
    CHECK(fixture.guard.idle());
  }
  SECTION("the next back end ends too") {
    fixture.Lose("nobody:2");
    REQUIRE(fixture.cluster.reported.size() == 1);
    CHECK(fixture.cluster.reported[0].crashed.size() == 2);
  }
}

TEST_CASE("What the cluster did not take is reported again") {
  Fixture fixture;
  fixture.cluster.commits = false;
  fixture.Lose("nobody:1");
  fixture.Lose("nobody:2");
  const size_t first = fixture.cluster.reported.size();
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.cluster.reported.size() > first);
  fixture.cluster.commits = true;
  fixture.scheduler.RunFor(seconds(2));
  const size_t taken = fixture.cluster.reported.size();
  fixture.scheduler.RunFor(seconds(5));
  CHECK(fixture.cluster.reported.size() == taken);
}

TEST_CASE("What was reported and cleared before it was pushed here is held against nobody") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  fixture.Lose("nobody:2");
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  // The report is committed, and this node's configuration has not come so far.
  fixture.guard.OnRevision(Revision(99));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  // Another node cleared the record: the next changes tell of it and of its end at once.
  fixture.guard.Update({});
  fixture.guard.OnRevision(Revision(101));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kSend);
  CHECK(fixture.guard.idle());
}

TEST_CASE("A held request is tried after a pause, by whom the cluster lets") {
  Fixture fixture;
  fixture.Know({"i1", "i2"});
  GuardDecision decision = fixture.guard.Judge(kRequest);
  CHECK(decision.verdict == GuardVerdict::kRefuse);
  CHECK(decision.retry_after == kClientTrialPauses.front());
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  std::optional<bool> granted;
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  CHECK(granted == true);
  CHECK(fixture.cluster.trial_of == Revision(7));
  // All others learn of the trial, and wait anew.
  fixture.Know({"i1", "i2"}, 1, 8);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
}

/// Three trials of a content found nobody listening and barred it for a day, for requests of
/// clients as for items of batch jobs: the cluster counts a trial when it grants it.
TEST_CASE("A trial that reached nobody is the node's to use again, and not asked for anew") {
  Fixture fixture;
  fixture.Know({"i1", "i2"});
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  std::optional<bool> granted;
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  REQUIRE(granted == true);
  fixture.Know({"i1", "i2"}, 1, 8);
  fixture.guard.ReturnTrial(kRequest);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  granted.reset();
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  CHECK(granted == true);
  CHECK(fixture.cluster.trials == 1);
  SECTION("once only") { CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse); }
  SECTION("also when others have used up the last one meanwhile") {
    fixture.guard.ReturnTrial(kRequest);
    fixture.Know({"i1", "i2"}, kMaxTrials, 9);
    CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  }
  SECTION("no longer once the cluster has forgotten the request") {
    fixture.guard.ReturnTrial(kRequest);
    fixture.guard.Update({});
    fixture.Know({"i1", "i2"}, 1, 20);
    CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  }
}

TEST_CASE("A barred request is not tried, however long it is asked for") {
  Fixture fixture;
  fixture.Know({"i1", "i2", "i3", "i4"}, 2);
  for (int i = 0; i < 100; ++i) {
    fixture.scheduler.RunFor(seconds(60));
    CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  }
  CHECK(fixture.guard.Judge(kRequest).retry_after == kBarredRetryAfter);
}

TEST_CASE("Crashes before the first trial bar nothing, however many") {
  Fixture fixture;
  fixture.Know({"i1", "i2", "i3", "i4", "i5"});
  CHECK(fixture.guard.Judge(kRequest).standing == SuspectStanding::kHeld);
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
}

TEST_CASE("An item's first trial follows at once, its second after a pause") {
  Fixture fixture;
  fixture.Know({"i1", "i2"});
  CHECK(fixture.guard.Judge(kRequest, kItemTrialPauses).verdict == GuardVerdict::kTrial);
  fixture.Know({"i1", "i2", "i3"}, 1, 8);
  CHECK(fixture.guard.Judge(kRequest, kItemTrialPauses).verdict == GuardVerdict::kRefuse);
  fixture.scheduler.RunFor(kItemTrialPauses[1]);
  CHECK(fixture.guard.Judge(kRequest, kItemTrialPauses).verdict == GuardVerdict::kTrial);
}

TEST_CASE("What was served lately is remembered for one span or two, within a bound") {
  Fixture fixture;
  fixture.guard.RecordServed(1);
  CHECK(fixture.guard.ServedRecently(1));
  CHECK_FALSE(fixture.guard.ServedRecently(2));
  fixture.scheduler.RunFor(kServedSpan);
  CHECK(fixture.guard.ServedRecently(1));
  fixture.scheduler.RunFor(kServedSpan);
  CHECK_FALSE(fixture.guard.ServedRecently(1));
  for (uint64_t digest = 10; digest < 100'000; ++digest) fixture.guard.RecordServed(digest);
  CHECK_FALSE(fixture.guard.ServedRecently(10));
  CHECK(fixture.guard.ServedRecently(99'999));
}

TEST_CASE("What this node saw and what the cluster holds count together, each life once") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  fixture.Know({"nobody:1"});
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 1);
  fixture.Lose("nobody:2");
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 2);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
}

TEST_CASE("An answer clears the cluster's record once, and again if that was not taken") {
  Fixture fixture;
  fixture.Know({"i1", "i2"});
  fixture.cluster.commits = false;
  fixture.guard.OnServed(kRequest);
  fixture.cluster.commits = true;
  fixture.guard.OnServed(kRequest);
  fixture.guard.OnServed(kRequest);
  CHECK(fixture.cluster.cleared == std::vector<size_t>{2, 2});
  fixture.guard.Update({});
  CHECK(fixture.guard.idle());
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kSend);
}

TEST_CASE("A flood of lost requests is remembered within a bound, and no held one pushed out") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  fixture.Lose("nobody:2");
  for (int i = 0; i < 2000; ++i) {
    const std::string name = fmt::format("flood{}", i);
    fixture.guard.OnLost({RequestFingerprint(name), name}, LiveInstance("nobody:3", "pages"));
  }
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  CHECK(fixture.guard.Judge(RequestFingerprint("flood0")).count.crashes == 0);
}

}  // namespace
}  // namespace millstair
