/// Back ends that fall silent: connections to them stay open or hang, and no response arrives.
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/stats.h"
#include "common/virtual_environment.h"
#include "fmt/format.h"
#include "ingress/backend_attempt.h"
#include "ingress/backend_directory.h"
#include "ingress/ingress_service.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/fake_register.h"
#include "test/ingress/fixed_table.h"
#include "test/ingress/pages_setup.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = kPagesTarget;
constexpr Duration kUsual = milliseconds(25);
/// Of the back end in the own zone, where others are to be preferred while they respond.
constexpr Duration kOwnLatency = milliseconds(80);
constexpr Duration kTimeLimit = kPagesTimeout;
const ServiceName kPages("pages");

BackendInstance InZone(const std::string& address, const std::string& zone) {
  BackendInstance instance = LiveInstance(address, kPages.value());
  instance.zone = Zone(zone);
  return instance;
}

/// A directory of a node in zone z1, with back ends that have responded after the usual latency.
class DirectoryFixture {
 public:
  explicit DirectoryFixture(const std::map<std::string, std::string>& zones) {
    for (const auto& [address, zone] : zones) {
      configuration.instances[InstanceId(address)] = InZone(address, zone);
    }
    directory.Update(configuration);
    for (const auto& [address, zone] : zones) Answer(address, kUsual);
  }

  void Answer(const std::string& address, Duration latency) {
    directory.Begin(InstanceId(address));
    scheduler.RunFor(latency);
    directory.End(InstanceId(address), BackendEnd::kAnswered, latency);
  }
  /// An attempt that is dropped after `wait` without a byte of a response.
  void Drop(const std::string& address, Duration wait) {
    const TimePoint sent_at = Begin(address);
    scheduler.RunFor(wait);
    directory.EndUnanswered(InstanceId(address), sent_at, kTarget);
  }
  TimePoint Begin(const std::string& address) {
    directory.Begin(InstanceId(address));
    return environment.Now();
  }
  void TimeOutConnecting(const std::string& address) {
    directory.Begin(InstanceId(address));
    scheduler.RunFor(milliseconds(400));
    directory.End(InstanceId(address), BackendEnd::kUnreachable, milliseconds(400));
  }
  bool Ejected(const std::string& address) { return directory.Ejected(InstanceId(address)); }
  std::string Pick(const std::set<InstanceId>& excluded = {}) {
    const auto picked = directory.Pick(kPages, excluded);
    return picked ? picked->id.value() : "";
  }
  double Stat(const std::string& name) {
    for (const StatSample& sample : stats.Read()) {
      if (sample.name.name == name) return sample.value;
    }
    return -1;
  }

  VirtualScheduler scheduler{3};
  VirtualEnvironment environment{scheduler, 5};
  StatsRegistry stats;
  Configuration configuration;
  BackendDirectory directory{environment, Zone("z1"), &stats};
};

// Dropped attempts told nothing, so that each request went to silent back ends first.
TEST_CASE("Two silent attempts in a row eject a back end") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  fixture.Drop("a", milliseconds(175));
  CHECK_FALSE(fixture.Ejected("a"));
  fixture.scheduler.RunFor(seconds(4));
  fixture.Drop("a", milliseconds(175));
  CHECK(fixture.Ejected("a"));
  CHECK(fixture.Pick() == "b");
  CHECK(fixture.Stat("millstair_backends_silent") == 1);
  CHECK(fixture.Stat("millstair_backend_silences_total") == 2);
}

// A slow response of a healthy back end must not eject it, however often others are cancelled.
TEST_CASE("A response between silent attempts keeps a back end in use") {
  enum class Sign { kComplete, kFirstByte, kRefusal };
  const Sign sign = GENERATE(Sign::kComplete, Sign::kFirstByte, Sign::kRefusal);
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  for (int i = 0; i < 10; ++i) {
    fixture.Drop("a", milliseconds(175));
    CHECK_FALSE(fixture.Ejected("a"));
    if (sign == Sign::kComplete) fixture.Answer("a", kUsual);
    if (sign == Sign::kComplete) continue;
    fixture.Begin("a");
    if (sign == Sign::kFirstByte) fixture.directory.OnResponse(InstanceId("a"));
    const BackendEnd end = sign == Sign::kRefusal ? BackendEnd::kRefused : BackendEnd::kCancelled;
    fixture.directory.End(InstanceId("a"), end, milliseconds(1));
  }
}

TEST_CASE("Attempts dropped before a response is overdue are not silence") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  SECTION("before the target") {
    for (int i = 0; i < 10; ++i) fixture.Drop("a", kTarget - milliseconds(1));
  }
  SECTION("before twice the usual latency") {
    for (int i = 0; i < 60; ++i) fixture.Answer("a", milliseconds(400));
    for (int i = 0; i < 10; ++i) fixture.Drop("a", milliseconds(750));
  }
  SECTION("while other requests get responses") {
    for (int i = 0; i < 10; ++i) {
      const TimePoint sent_at = fixture.Begin("a");
      fixture.Answer("a", kUsual);
      fixture.scheduler.RunFor(kTimeLimit);
      fixture.directory.EndUnanswered(InstanceId("a"), sent_at, kTarget);
    }
  }
  SECTION("without a target and a known latency") {
    fixture.configuration.instances[InstanceId("new")] = InZone("new", "z1");
    fixture.directory.Update(fixture.configuration);
    for (int i = 0; i < 10; ++i) {
      const TimePoint sent_at = fixture.Begin("new");
      fixture.scheduler.RunFor(seconds(1));
      fixture.directory.EndUnanswered(InstanceId("new"), sent_at, Duration(0));
    }
    CHECK_FALSE(fixture.Ejected("new"));
  }
  CHECK_FALSE(fixture.Ejected("a"));
  CHECK(fixture.Stat("millstair_backend_silences_total") == 0);
}

// One pause of a back end delays all requests that it has; they are one observation.
TEST_CASE("Attempts that overlap in time are silent once") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  std::vector<TimePoint> sent_at;
  for (int i = 0; i < 5; ++i) {
    sent_at.push_back(fixture.Begin("a"));
    fixture.scheduler.RunFor(milliseconds(10));
  }
  fixture.scheduler.RunFor(kTarget);
  for (const TimePoint at : sent_at) {
    fixture.directory.EndUnanswered(InstanceId("a"), at, kTarget);
  }
  CHECK_FALSE(fixture.Ejected("a"));
}

// On a route without hedges each silence is a lost request, and a gateway sees few requests.
TEST_CASE("A long silence or a connect time-out ejects a back end at once, except the last one") {
  const bool connecting = GENERATE(false, true);
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  const auto fail = [&](const std::string& address) {
    connecting ? fixture.TimeOutConnecting(address) : fixture.Drop(address, kTimeLimit);
  };
  fail("a");
  CHECK(fixture.Ejected("a"));
  fail("b");
  CHECK_FALSE(fixture.Ejected("b"));
  CHECK(fixture.Pick() == "b");
  fail("b");
  CHECK(fixture.Ejected("b"));
}

TEST_CASE("A refused connection is a failure, not silence") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  fixture.directory.Begin(InstanceId("a"));
  fixture.directory.End(InstanceId("a"), BackendEnd::kUnreachable, milliseconds(1));
  CHECK_FALSE(fixture.Ejected("a"));
  CHECK(fixture.Stat("millstair_backend_silences_total") == 0);
}

// Without a bound on probes, all requests after a pause would wait for a back end that is silent.
TEST_CASE("An ejected back end gets one request at a time until it responds") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  fixture.Drop("a", kTimeLimit);
  REQUIRE(fixture.Ejected("a"));
  fixture.scheduler.RunFor(seconds(12));
  REQUIRE_FALSE(fixture.Ejected("a"));
  const std::set<InstanceId> other = {InstanceId("b")};
  CHECK(fixture.Pick(other) == "a");
  const TimePoint probe = fixture.Begin("a");
  // The other one is busy, so only the bound on probes keeps requests from "a".
  for (int i = 0; i < 5; ++i) fixture.Begin("b");
  for (int i = 0; i < 20; ++i) CHECK(fixture.Pick() == "b");
  SECTION("it responds") {
    fixture.scheduler.RunFor(kUsual);
    fixture.directory.OnResponse(InstanceId("a"));
    CHECK(fixture.Pick() == "a");
    CHECK(fixture.Stat("millstair_backends_silent") == 0);
  }
  SECTION("it is silent again") {
    fixture.scheduler.RunFor(milliseconds(175));
    fixture.directory.EndUnanswered(InstanceId("a"), probe, kTarget);
    CHECK(fixture.Ejected("a"));
    // The second pause is longer than the first of 1 s.
    fixture.scheduler.RunFor(milliseconds(1500));
    CHECK(fixture.Ejected("a"));
    fixture.scheduler.RunFor(milliseconds(1000));
    CHECK_FALSE(fixture.Ejected("a"));
  }
  SECTION("the probe is cancelled early") {
    fixture.directory.EndUnanswered(InstanceId("a"), probe, kTarget);
    CHECK(fixture.Pick() == "a");
  }
  SECTION("a request that began before the ejection ends") {
    fixture.directory.Begin(InstanceId("a"));
    fixture.directory.End(InstanceId("a"), BackendEnd::kCancelled, seconds(20));
    CHECK(fixture.Pick() == "b");
  }
}

TEST_CASE("A response ends the ejection of a silent back end") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  const TimePoint late = fixture.Begin("a");
  fixture.Drop("a", kTimeLimit);
  REQUIRE(fixture.Ejected("a"));
  fixture.directory.End(InstanceId("a"), BackendEnd::kAnswered, fixture.environment.Now() - late);
  CHECK_FALSE(fixture.Ejected("a"));
}

TEST_CASE("If all back ends are silent, the least recently ejected one is picked") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}, {"c", "z1"}});
  for (const char* address : {"b", "c", "a"}) {
    const TimePoint sent_at = fixture.Begin(address);
    fixture.scheduler.RunFor(milliseconds(200));
    fixture.directory.EndUnanswered(InstanceId(address), sent_at, kTarget);
    fixture.Drop(address, milliseconds(1));
  }
  // The second silence of each, within the pause of a second of the first that is ejected.
  std::map<std::string, TimePoint> sent_at;
  for (const char* address : {"b", "c", "a"}) sent_at[address] = fixture.Begin(address);
  fixture.scheduler.RunFor(milliseconds(200));
  for (const char* address : {"b", "c", "a"}) {
    fixture.directory.EndUnanswered(InstanceId(address), sent_at[address], kTarget);
    fixture.scheduler.RunFor(milliseconds(10));
  }
  REQUIRE(fixture.Ejected("a"));
  REQUIRE(fixture.Ejected("b"));
  REQUIRE(fixture.Ejected("c"));
  CHECK(fixture.Pick() == "b");
  CHECK(fixture.Pick({InstanceId("b")}) == "c");
  // Silent again: the next one is tried.
  fixture.Drop("b", kTarget);
  CHECK(fixture.Pick() == "c");
}

TEST_CASE("A silent back end that is deleted or replaced is no longer counted") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  fixture.Drop("a", kTimeLimit);
  REQUIRE(fixture.Stat("millstair_backends_silent") == 1);
  SECTION("deleted") {
    fixture.configuration.instances.erase(InstanceId("a"));
    fixture.directory.Update(fixture.configuration);
  }
  SECTION("gone") {
    fixture.configuration.instances[InstanceId("a")].state = MemberState::kGone;
    fixture.directory.Update(fixture.configuration);
  }
  SECTION("superseded") { fixture.directory.OnSuperseded(InstanceId("a")); }
  CHECK(fixture.Stat("millstair_backends_silent") == 0);
}

// The gauge stayed above zero for good, because nothing removes such a back end from it any more.
TEST_CASE("A request that ends silent after its back end was removed is not counted") {
  const bool connecting = GENERATE(false, true);
  DirectoryFixture fixture({{"own", "z1"}, {"a", "z2"}, {"b", "z3"}});
  for (int i = 0; i < 60; ++i) fixture.Answer("own", 2 * kUsual);
  REQUIRE(fixture.Pick() != "own");
  const TimePoint sent_at = fixture.Begin("a");
  SECTION("deleted") {
    fixture.configuration.instances.erase(InstanceId("a"));
    fixture.directory.Update(fixture.configuration);
  }
  SECTION("gone") {
    fixture.configuration.instances[InstanceId("a")].state = MemberState::kGone;
    fixture.directory.Update(fixture.configuration);
  }
  SECTION("superseded") { fixture.directory.OnSuperseded(InstanceId("a")); }
  fixture.scheduler.RunFor(kTimeLimit);
  fixture.directory.OnUnanswered(InstanceId("a"), sent_at, kTarget);
  if (connecting) {
    fixture.directory.End(InstanceId("a"), BackendEnd::kUnreachable, kTimeLimit);
  } else {
    fixture.directory.EndUnanswered(InstanceId("a"), sent_at, kTarget);
  }
  CHECK(fixture.Stat("millstair_backends_silent") == 0);
  CHECK(fixture.Stat("millstair_backend_silences_total") == 0);
  // Other zones are not doubted on account of a back end that has ended.
  CHECK(fixture.Pick() == "b");
}

// All requests went to the first one for the whole of its pause.
TEST_CASE("If all back ends are ejected by failures, each is tried in turn") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}, {"c", "z1"}});
  const auto fail = [&](const std::string& address) {
    fixture.directory.Begin(InstanceId(address));
    fixture.scheduler.RunFor(milliseconds(1));
    fixture.directory.End(InstanceId(address), BackendEnd::kFailed, milliseconds(1));
  };
  for (const char* address : {"a", "b", "c"}) {
    for (int i = 0; i < 3; ++i) fail(address);
    REQUIRE(fixture.Ejected(address));
  }
  for (const char* address : {"a", "b", "c", "a", "b"}) {
    CHECK(fixture.Pick() == address);
    fail(address);
  }
}

// A node that is cut off would learn about each back end of the other zones at the cost of one or
// two late requests.
TEST_CASE("After silence in another zone the own zone is preferred until another zone responds") {
  DirectoryFixture fixture({{"own", "z1"}, {"b", "z2"}, {"c", "z3"}});
  for (int i = 0; i < 60; ++i) fixture.Answer("own", 2 * kUsual);
  REQUIRE(fixture.Pick() != "own");
  const TimePoint sent_at = fixture.Begin("b");
  fixture.scheduler.RunFor(kTarget);
  SECTION("no other zone has responded") {
    fixture.directory.OnUnanswered(InstanceId("b"), sent_at, kTarget);
    CHECK(fixture.Pick() == "own");
    SECTION("a late response") { fixture.directory.OnResponse(InstanceId("b")); }
    SECTION("a response of a third zone") { fixture.Answer("c", kUsual); }
    SECTION("a long time without silence") { fixture.scheduler.RunFor(seconds(11)); }
  }
  SECTION("another zone responded during the silence") {
    fixture.directory.OnResponse(InstanceId("c"));
    fixture.directory.OnUnanswered(InstanceId("b"), sent_at, kTarget);
    CHECK(fixture.Pick() == "c");
  }
  fixture.directory.EndUnanswered(InstanceId("b"), sent_at, seconds(60));
  CHECK(fixture.Pick() != "own");
}

// A probe must not make the request late that is used for it.
TEST_CASE("A request to a back end that was silent is hedged early") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z2"}});
  const InstanceId a("a");
  CHECK(fixture.directory.HedgeDelay(a, kTarget) == kTarget);
  fixture.Drop("a", milliseconds(175));
  CHECK(fixture.directory.HedgeDelay(a, kTarget) == 2 * kUsual);
  CHECK(fixture.directory.HedgeDelay(InstanceId("b"), kTarget) == kTarget);
  CHECK(fixture.directory.HedgeDelay(a, milliseconds(10)) == milliseconds(10));
  // The short wait renews the doubt, but does not eject.
  fixture.scheduler.RunFor(seconds(11));
  REQUIRE(fixture.Pick() == "a");
  const TimePoint sent_at = fixture.Begin("a");
  fixture.scheduler.RunFor(2 * kUsual);
  fixture.directory.OnUnanswered(a, sent_at, kTarget);
  CHECK(fixture.Pick() == "b");
  fixture.directory.EndUnanswered(a, sent_at, kTarget);
  CHECK_FALSE(fixture.Ejected("a"));
  fixture.Answer("a", kUsual);
  CHECK(fixture.directory.HedgeDelay(a, kTarget) == kTarget);
}

TEST_CASE("Silence in the own zone does not make other zones doubted") {
  DirectoryFixture fixture({{"own", "z1"}, {"b", "z2"}});
  const TimePoint sent_at = fixture.Begin("own");
  fixture.scheduler.RunFor(kTarget);
  fixture.directory.OnUnanswered(InstanceId("own"), sent_at, kTarget);
  CHECK(fixture.Pick() == "b");
}

/// A gateway in zone z1 before one back end in each of four zones. The one in its zone is slower
/// than the others, so that the others are preferred while all respond.
class CutFixture {
 public:
  CutFixture() : service(environment, backends, protocol, reader, Zone("z1"), &stats) {
    reader.table.version = 1;
    reader.table.routes = {PagesRoute()};
    for (int zone = 1; zone <= 4; ++zone) {
      const std::string address = fmt::format("1.1.1.{}:1", zone);
      configuration.instances[InstanceId(address)] = InZone(address, fmt::format("z{}", zone));
      backends.Serve(address, [this, zone](const HttpRequest&) { return AnswerOf(zone); });
    }
  }

  void Warm() {
    service.Update(configuration);
    for (int i = 0; i < 40; ++i) REQUIRE(Forward().outcome == ForwardOutcome::kAnswered);
    took.clear();
  }

  ForwardResult Forward(Duration left = kTimeLimit) {
    std::optional<ForwardResult> result;
    const Duration started = scheduler.Now();
    service.Forward({{"POST", "/p/x", {}, "body"}, "a.example", "id", left},
                    [&](ForwardResult answer) {
                      result = std::move(answer);
                      took.push_back(scheduler.Now() - started);
                    });
    scheduler.RunFor(seconds(4));
    REQUIRE(result);
    return *result;
  }

  size_t CallsElsewhere() const { return backends.calls.size() - backends.CountAt("1.1.1.1:1"); }

  FakeAnswer AnswerOf(int zone) {
    FakeAnswer answer;
    answer.delay = zone == 1 ? kOwnLatency : kUsual;
    if (zone == 1 || !cut) return answer;
    // Kept connections hang; once they are closed, connects time out.
    const bool kept = kept_connections.erase(zone) > 0;
    answer.kind = kept ? FakeAnswer::Kind::kNoResponse : FakeAnswer::Kind::kUnreachable;
    answer.delay = milliseconds(400);
    return answer;
  }

  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  StatsRegistry stats;
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  FixedTable reader;
  Configuration configuration = PagesConfiguration();
  IngressService service;
  bool cut = false;
  std::set<int> kept_connections;
  std::vector<Duration> took;
};

// Requests went to two silent back ends each and ended with 504, as long as the zone was cut off.
TEST_CASE("A gateway that is cut off serves requests by the back end of its zone") {
  const bool kept_connections = GENERATE(true, false);
  const uint32_t attempts = GENERATE(2U, 3U);
  CutFixture fixture;
  fixture.reader.table.routes[0].attempts = attempts;
  fixture.Warm();
  REQUIRE(fixture.CallsElsewhere() > 0);
  fixture.cut = true;
  if (kept_connections) fixture.kept_connections = {2, 3, 4};
  size_t late = 0;
  constexpr size_t kRequests = 10;
  for (size_t i = 0; i < kRequests; ++i) {
    INFO("request " << i);
    CHECK(fixture.Forward().outcome == ForwardOutcome::kAnswered);
    // Hedged at the target, and answered by the back end of the zone.
    CHECK(fixture.took.back() <= kTarget + kOwnLatency + milliseconds(10));
    if (fixture.took.back() > kTarget) ++late;
  }
  // Later probes are hedged early, so that only the first request is late.
  CHECK(late <= 1);
  fixture.cut = false;
  const size_t before = fixture.CallsElsewhere();
  for (int i = 0; i < 4; ++i) {
    CHECK(fixture.Forward().outcome == ForwardOutcome::kAnswered);
    CHECK(fixture.took.back() <= kTarget);
  }
  CHECK(fixture.CallsElsewhere() > before);
  // A probe that is answered makes the faster back ends preferred at once.
  CHECK(fixture.took.back() < kOwnLatency);
}

TEST_CASE("A route without hedges loses at most one request to a zone that is cut off") {
  CutFixture fixture;
  fixture.reader.table.routes[0].kind = RouteKind::kOnce;
  fixture.Warm();
  fixture.cut = true;
  fixture.kept_connections = {2, 3, 4};
  CHECK(fixture.Forward().outcome == ForwardOutcome::kTimedOut);
  for (int i = 0; i < 5; ++i) {
    INFO("request " << i);
    CHECK(fixture.Forward().outcome == ForwardOutcome::kAnswered);
  }
}

// The deadline's timer of a node that was paused runs before responses that have arrived are read.
TEST_CASE("A node that was paused past a deadline ejects no back end") {
  CutFixture fixture;
  fixture.Warm();
  fixture.cut = true;
  fixture.kept_connections = {2, 3, 4};
  fixture.service.Forward({{"POST", "/p/x", {}, "body"}, "a.example", "id", kTimeLimit},
                          [](const ForwardResult&) {});
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.environment.Suspend();
  fixture.scheduler.RunFor(seconds(2));
  fixture.environment.Wake();
  fixture.scheduler.RunFor(milliseconds(1));
  for (const auto& [id, instance] : fixture.configuration.instances) {
    CHECK_FALSE(fixture.service.directory().Ejected(id));
  }
}

// The responses that arrived during a pause are read after the events that drop their attempts.
TEST_CASE("A pause of the node that ends shortly after a deadline ejects no back end") {
  const Duration left = GENERATE(Duration(milliseconds(480)), kTimeLimit);
  CutFixture fixture;
  fixture.Warm();
  fixture.cut = true;
  fixture.kept_connections = {2, 3, 4};
  const size_t calls = fixture.backends.calls.size();
  fixture.service.Forward({{"POST", "/p/x", {}, "body"}, "a.example", "id", left},
                          [](const ForwardResult&) {});
  fixture.scheduler.RunFor(milliseconds(10));
  REQUIRE(fixture.backends.calls.size() == calls + 1);
  fixture.environment.Suspend();
  fixture.scheduler.RunFor(left + milliseconds(40));
  fixture.environment.Wake();
  fixture.scheduler.RunFor(milliseconds(1));
  for (const auto& [id, instance] : fixture.configuration.instances) {
    CHECK_FALSE(fixture.service.directory().Ejected(id));
  }
  CHECK(fixture.stats.NewCounter({"millstair_backend_silences_total"}).value() == 0);
}

TEST_CASE("Requests dropped after a pause of the node are not silence") {
  DirectoryFixture fixture({{"a", "z1"}, {"b", "z1"}});
  const TimePoint sent_at = fixture.Begin("a");
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.environment.Suspend();
  fixture.scheduler.RunFor(milliseconds(500));
  fixture.environment.Wake();
  const bool timers_first = GENERATE(false, true);
  if (timers_first) fixture.scheduler.RunFor(milliseconds(1));
  // Its caller left during the pause.
  fixture.directory.EndUnanswered(InstanceId("a"), sent_at, kTarget);
  CHECK_FALSE(fixture.Ejected("a"));
  CHECK(fixture.Stat("millstair_backend_silences_total") == 0);
  // Requests sent after the pause count.
  fixture.Drop("a", kTimeLimit);
  CHECK(fixture.Ejected("a"));
}

// A response that is later than usual but has begun must not eject its back end.
TEST_CASE("A response whose head has arrived is not silence") {
  CutFixture fixture;
  fixture.Warm();
  for (int zone = 1; zone <= 4; ++zone) {
    fixture.backends.Serve(fmt::format("1.1.1.{}:1", zone), [](const HttpRequest&) {
      FakeAnswer answer;
      answer.delay = milliseconds(140);
      answer.pieces = {"begin", "end"};
      answer.gap = seconds(2);
      return answer;
    });
  }
  for (int i = 0; i < 10; ++i) CHECK(fixture.Forward().outcome == ForwardOutcome::kTimedOut);
  for (const auto& [id, instance] : fixture.configuration.instances) {
    CHECK_FALSE(fixture.service.directory().Ejected(id));
  }
  CHECK(fixture.stats.NewCounter({"millstair_backend_silences_total"}).value() == 0);
}

}  // namespace
}  // namespace millstair
