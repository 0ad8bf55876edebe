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

SuspectRequest MakeRecord(std::vector<std::string> crashed, uint32_t trials = 0,
                          uint64_t revision = 7) {
  SuspectRequest record;
  record.request = kRequest;
  record.place = kGuarded.place;
  record.trials = trials;
  record.crashes_before_trials = kCrashesToHold;
  record.changed_at = Revision(revision);
  for (std::string& name : crashed) record.crashed.emplace_back(std::move(name));
  return record;
}

class Fixture {
 public:
  Fixture() {
    guard.SetRegister(&cluster);
    backends.Serve("here:1", [](const HttpRequest&) { return FakeAnswer(); });
    backends.Serve("other:1", [](const HttpRequest&) {
      return FakeAnswer{Kind::kAnswer, 200, {{"instance", "another life"}}};
    });
    backends.Serve("silent:1", [](const HttpRequest&) { return FakeAnswer{Kind::kNoResponse}; });
    backends.Serve("resets:1", [](const HttpRequest&) { return FakeAnswer{Kind::kReset}; });
  }

  /// `address` received the request and lost it; runs until the liveness check has ended.
  void Lose(const std::string& address) {
    guard.OnLost(kGuarded, LiveInstance(address, "pages"));
    scheduler.RunFor(milliseconds(200));
  }

  /// Sets the cluster's record of the request.
  void SetRecord(std::vector<std::string> crashed, uint32_t trials = 0, uint64_t revision = 7) {
    guard.Update({{kRequest, MakeRecord(std::move(crashed), trials, revision)}});
  }

  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  FakeRegister cluster;
  RequestGuard guard{environment, backends, protocol, [](const ServiceName&) { return "/healthz"; },
                     nullptr};
};

TEST_CASE("Only an incarnation that has ended counts as a crash") {
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

TEST_CASE("One liveness check serves all requests that an incarnation lost") {
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

TEST_CASE("A request waits only for a liveness check that could hold it") {
  Fixture fixture;
  fixture.guard.OnLost(kGuarded, LiveInstance("nobody:1", "pages"));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kSend);
  fixture.scheduler.RunFor(milliseconds(200));
  fixture.guard.OnLost(kGuarded, LiveInstance("nobody:2", "pages"));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kWait);
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
}

TEST_CASE("A single crash is reported once this node gives the request up") {
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

TEST_CASE("A report that was not committed is repeated") {
  Fixture fixture;
  fixture.cluster.commits = false;
  fixture.Lose("nobody:1");
  fixture.Lose("nobody:2");
  const size_t first = fixture.cluster.reported.size();
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.cluster.reported.size() > first);
  fixture.cluster.commits = true;
  fixture.scheduler.RunFor(seconds(2));
  const size_t committed = fixture.cluster.reported.size();
  fixture.scheduler.RunFor(seconds(5));
  CHECK(fixture.cluster.reported.size() == committed);
}

TEST_CASE("A crash whose record was cleared before it reached this node is dropped") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  fixture.Lose("nobody:2");
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  // The report is committed, but this node's configuration is older.
  fixture.guard.OnRevision(Revision(99));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  // Another node cleared the record before this node received it.
  fixture.guard.Update({});
  fixture.guard.OnRevision(Revision(101));
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kSend);
  CHECK(fixture.guard.idle());
}

TEST_CASE("A held request is tried after a pause, if the cluster grants a trial") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2"});
  GuardDecision decision = fixture.guard.Judge(kRequest);
  CHECK(decision.verdict == GuardVerdict::kRefuse);
  CHECK(decision.retry_after == kClientTrialPauses.front());
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  std::optional<bool> granted;
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  CHECK(granted == true);
  CHECK(fixture.cluster.trial_of == Revision(7));
  // A granted trial starts a new pause at all nodes.
  fixture.SetRecord({"i1", "i2"}, 1, 8);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
}

/// Guards against requests that are withheld for the time that servers need to restart although
/// enough others run, and against trials during a burst of crashes or of requests that have ended a
/// back end in a trial already.
TEST_CASE("While a service has spare back ends, a held request waits for its first trial") {
  Fixture fixture;
  bool spare = true;
  const auto judge = [&] { return fixture.guard.Judge(kRequest, [&spare] { return spare; }); };
  fixture.SetRecord({"i1", "i2"});
  CHECK(judge().verdict == GuardVerdict::kWait);
  CHECK(judge().retry_after == kSpareTrialPause);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  fixture.scheduler.RunFor(kSpareTrialPause);
  SECTION("which comes after a short pause") {
    CHECK(judge().verdict == GuardVerdict::kTrial);
    spare = false;
    CHECK(judge().verdict == GuardVerdict::kRefuse);
    CHECK(judge().retry_after == kClientTrialPauses.front() - kSpareTrialPause);
  }
  SECTION("not while back ends end under other requests") {
    fixture.guard.OnLost({RequestFingerprint("other"), "a.example/q"},
                         LiveInstance("nobody:1", "pages"));
    fixture.scheduler.RunFor(milliseconds(200));
    CHECK(judge().verdict == GuardVerdict::kWait);
    fixture.scheduler.RunFor(kSpareTrialPause);
    CHECK(judge().verdict == GuardVerdict::kTrial);
  }
  SECTION("not while a back end that lost it is checked") {
    fixture.guard.OnLost(kGuarded, LiveInstance("silent:1", "pages"));
    CHECK(judge().verdict == GuardVerdict::kRefuse);
  }
  SECTION("while this node asks for it") {
    fixture.cluster.delays_trials = true;
    fixture.guard.BeginTrial(kRequest, [](bool) {});
    CHECK(judge().verdict == GuardVerdict::kWait);
    fixture.cluster.delayed_trials.front()(false);
    CHECK(judge().verdict == GuardVerdict::kTrial);
  }
  SECTION("and for its outcome, but not for the second one") {
    fixture.SetRecord({"i1", "i2"}, 1, 8);
    CHECK(judge().verdict == GuardVerdict::kWait);
    fixture.scheduler.RunFor(kSpareTrialPause);
    CHECK(judge().verdict == GuardVerdict::kRefuse);
    CHECK(judge().retry_after == kClientTrialPauses[1] - kSpareTrialPause);
  }
  SECTION("and not once a back end has ended in it") {
    fixture.SetRecord({"i1", "i2", "i3"}, 1, 8);
    CHECK(judge().verdict == GuardVerdict::kRefuse);
    CHECK(judge().retry_after == kClientTrialPauses[1]);
  }
}

/// A trial must not end one of the back ends that have just restarted, which may be all of them.
TEST_CASE("Back ends that crashed or restarted since are no spare ones") {
  Fixture fixture;
  const auto may_have_crashed = [&](const std::string& name, uint64_t registered_at) {
    BackendInstance backend = LiveInstance(name, "pages");
    backend.registered_at = Revision(registered_at);
    return fixture.guard.MayHaveCrashed(backend);
  };
  fixture.SetRecord({"i1", "i2"}, 0, 7);
  CHECK(may_have_crashed("i1", 3));
  CHECK_FALSE(may_have_crashed("i3", 7));
  CHECK(may_have_crashed("i4", 8));
  fixture.guard.OnRevision(Revision(9));
  fixture.Lose("nobody:1");
  CHECK(may_have_crashed("nobody:1", 3));
  CHECK_FALSE(may_have_crashed("i4", 8));
  CHECK(may_have_crashed("i5", 10));
  fixture.guard.OnServed(kRequest);
  fixture.guard.Update({});
  CHECK_FALSE(may_have_crashed("i1", 3));
}

/// The cluster counts a trial when it grants it: trials that reach no back end must not bar the
/// request.
TEST_CASE("A trial that reached no back end is reused without a new grant") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2"});
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  std::optional<bool> granted;
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  REQUIRE(granted == true);
  fixture.SetRecord({"i1", "i2"}, 1, 8);
  fixture.guard.ReturnTrial(kRequest);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  granted.reset();
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  CHECK(granted == true);
  CHECK(fixture.cluster.trials == 1);
  SECTION("once only") { CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse); }
  SECTION("also when other nodes have used up the last trial") {
    fixture.guard.ReturnTrial(kRequest);
    fixture.SetRecord({"i1", "i2"}, kMaxTrials, 9);
    CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  }
  SECTION("not after the cluster has deleted its record") {
    fixture.guard.ReturnTrial(kRequest);
    fixture.guard.Update({});
    fixture.SetRecord({"i1", "i2"}, 1, 20);
    CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  }
}

TEST_CASE("A trial that is granted too late for its request is kept for the next one") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2"});
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  fixture.cluster.delays_trials = true;
  std::optional<bool> granted;
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  fixture.scheduler.RunFor(milliseconds(600));
  CHECK(granted == false);
  fixture.SetRecord({"i1", "i2"}, 1, 8);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  fixture.cluster.delayed_trials.front()(true);
  REQUIRE(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
  granted.reset();
  fixture.guard.BeginTrial(kRequest, [&](bool answer) { granted = answer; });
  CHECK(granted == true);
  CHECK(fixture.cluster.trials == 1);
}

TEST_CASE("A trial that a living back end broke off is reused, one that ended a back end is not") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2"});
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  fixture.guard.BeginTrial(kRequest, [](bool) {});
  fixture.SetRecord({"i1", "i2"}, 1, 8);
  const std::string address = GENERATE("here:1", "other:1", "silent:1", "resets:1");
  fixture.guard.OnLost({kRequest, kGuarded.place, true}, LiveInstance(address, "pages"));
  fixture.scheduler.RunFor(seconds(3));
  const bool lives = address == "here:1";
  CHECK(fixture.guard.Judge(kRequest).verdict ==
        (lives ? GuardVerdict::kTrial : GuardVerdict::kRefuse));
}

TEST_CASE("A barred request is never tried") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2", "i3", "i4"}, 2);
  for (int i = 0; i < 100; ++i) {
    fixture.scheduler.RunFor(seconds(60));
    CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
  }
  CHECK(fixture.guard.Judge(kRequest).retry_after == kBarredRetryAfter);
}

TEST_CASE("Crashes before the first trial don't bar a request") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2", "i3", "i4", "i5"});
  CHECK(fixture.guard.Judge(kRequest).standing == SuspectStanding::kHeld);
  fixture.scheduler.RunFor(kClientTrialPauses.front());
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kTrial);
}

/// Guards against items of jobs that are withheld, or bar a client's request, because engines
/// crashed under them.
TEST_CASE("Crashes under a trusted request are counted here, but neither reported nor judged") {
  Fixture fixture;
  const GuardedRequest trusted{kRequest, kGuarded.place, false, true};
  for (int i = 1; i <= 5; ++i) {
    const std::string address = fmt::format("nobody:{}", i);
    fixture.guard.OnLost(trusted, LiveInstance(address, "pages"));
    CHECK(fixture.guard.CrashesSeen(kRequest).crashes == static_cast<size_t>(i));
    fixture.scheduler.RunFor(seconds(2));
  }
  CHECK(fixture.guard.CrashesSeen(kRequest).crashes == 5);
  CHECK(fixture.cluster.reported.empty());
  fixture.guard.OnServed(kRequest);
  CHECK(fixture.guard.CrashesSeen(kRequest).crashes == 0);
  CHECK(fixture.guard.idle());
}

TEST_CASE("Trusted requests do not push out observations of others") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  for (int i = 0; i < 600; ++i) {
    const std::string name = fmt::format("item{}", i);
    for (const char* address : {"nobody:2", "nobody:3"}) {
      fixture.guard.OnLost({RequestFingerprint(name), name, false, true},
                           LiveInstance(address, "pages"));
    }
  }
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 1);
}

TEST_CASE("Served requests are remembered for one to two windows, within a limit") {
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

TEST_CASE("Crashes seen here and in the cluster's record are merged by incarnation") {
  Fixture fixture;
  fixture.Lose("nobody:1");
  fixture.SetRecord({"nobody:1"});
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 1);
  fixture.Lose("nobody:2");
  CHECK(fixture.guard.Judge(kRequest).count.crashes == 2);
  CHECK(fixture.guard.Judge(kRequest).verdict == GuardVerdict::kRefuse);
}

TEST_CASE("A response clears the cluster's record once, and again if that was not committed") {
  Fixture fixture;
  fixture.SetRecord({"i1", "i2"});
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

TEST_CASE("Many lost requests are remembered within a limit and don't push out a held one") {
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
