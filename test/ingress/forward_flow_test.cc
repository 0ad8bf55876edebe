#include "ingress/forward_flow.h"

#include <catch2/catch.hpp>
#include <optional>

#include "ingress/ingress_service.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/fake_register.h"
#include "test/ingress/fixed_table.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

class Fixture {
 public:
  Fixture() : service_(environment, backends, protocol, reader, Zone("z1")) {
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.path_prefix = "/p/";
    route.timeout = milliseconds(800);
    route.target = milliseconds(150);
    route.attempts = 2;
    route.services = {{ServiceName("pages"), 1}};
    reader.table.version = 1;
    reader.table.routes = {route};
    configuration.routing = {1, "content"};
    configuration.revision = Revision(1);
  }

  void Add(const std::string& address, FakeBackends::Script script) {
    configuration.instances[InstanceId(address)] = LiveInstance(address, "pages");
    backends.Serve(address, std::move(script));
  }

  Route& route() { return reader.table.routes[0]; }

  std::optional<ForwardResult> Forward(std::optional<Duration> left = std::nullopt,
                                       Duration wait = milliseconds(2000)) {
    service_.Update(configuration);
    std::optional<ForwardResult> result;
    const Duration started = scheduler.Now();
    ForwardRequest request{{"POST", "/p/x", {}, "body"}, "a.example", "id-1", left};
    request.tenant = tenant;
    service_.Forward(std::move(request), [&](ForwardResult answer) {
      result = std::move(answer);
      took = scheduler.Now() - started;
    });
    scheduler.RunFor(wait);
    return result;
  }

  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  FixedTable reader;
  Configuration configuration;
  IngressService service_;
  Duration took{0};
  TenantName tenant;
};

FakeAnswer Ok() { return {FakeAnswer::Kind::kAnswer, 200, {{"signature", "s"}}, {"whole"}}; }
FakeAnswer Refusal() { return {FakeAnswer::Kind::kAnswer, 503, {{"refused", "1"}}, {""}}; }
FakeAnswer Of(FakeAnswer::Kind kind) {
  FakeAnswer answer = Ok();
  answer.kind = kind;
  return answer;
}

TEST_CASE("A request without a route, or before any is known, is told apart") {
  Fixture fixture;
  fixture.configuration.routing = {};
  auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotConfigured);
  fixture.configuration.routing = {1, "content"};
  fixture.route().host = "b.example";
  result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNoRoute);
}

/// How often requests of the tenant "t" were metered, and when the first one began.
struct Metered {
  explicit Metered(Fixture& fixture) {
    fixture.service_.SetRequestStartListener([this](const TenantName& tenant, TimePoint at) {
      CHECK(tenant == TenantName("t"));
      if (count++ == 0) first_at = at;
    });
  }
  size_t count = 0;
  TimePoint first_at;
};

TEST_CASE("A request is metered once, where and when it first ran") {
  Fixture fixture;
  Metered metered(fixture);
  fixture.tenant = TenantName("t");
  fixture.Add("a:1", [](const HttpRequest&) { return Refusal(); });
  fixture.Add("b:1", [](const HttpRequest&) { return Ok(); });
  REQUIRE(fixture.Forward());
  CHECK(metered.count == 1);
  // Refused requests have not run.
  Fixture refused;
  Metered none(refused);
  refused.tenant = TenantName("t");
  refused.Add("a:1", [](const HttpRequest&) { return Refusal(); });
  REQUIRE(refused.Forward());
  CHECK(none.count == 0);
}

TEST_CASE("A request that was sent and not refused is metered though no answer came") {
  const auto kind = GENERATE(FakeAnswer::Kind::kReset, FakeAnswer::Kind::kSilence);
  Fixture fixture;
  Metered metered(fixture);
  fixture.tenant = TenantName("t");
  fixture.Add("a:1", [kind](const HttpRequest&) { return Of(kind); });
  fixture.Add("b:1", [kind](const HttpRequest&) { return Of(kind); });
  const TimePoint started = fixture.environment.Now();
  REQUIRE(fixture.Forward());
  CHECK(metered.count == 1);
  CHECK(metered.first_at <= started + milliseconds(50));
}

TEST_CASE("What reaches no back end, and what nobody is known to have asked, is not metered") {
  Fixture fixture;
  Metered metered(fixture);
  fixture.Add("a:1", [](const HttpRequest&) { return Ok(); });
  REQUIRE(fixture.Forward());
  CHECK(metered.count == 0);
  Fixture unreachable;
  Metered none(unreachable);
  unreachable.tenant = TenantName("t");
  unreachable.Add("a:1", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kUnreachable); });
  REQUIRE(unreachable.Forward());
  CHECK(none.count == 0);
}

TEST_CASE("The longest prefix of the host wins") {
  RouteTable table;
  Route wide;
  wide.host = "a.example";
  wide.path_prefix = "/";
  Route narrow = wide;
  narrow.path_prefix = "/p/";
  table.routes = {wide, narrow};
  CHECK(table.Find("a.example:80", "/p/x?q=/z/") == &table.routes[1]);
  CHECK(table.Find("a.example", "/q") == &table.routes[0]);
  CHECK(table.Find("b.example", "/p/x") == nullptr);
}

TEST_CASE("A whole answer is passed on, and names the life of the back end") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  const auto result = fixture.Forward(milliseconds(300));
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(result->body == "whole");
  CHECK(result->signature == "s");
  const HttpRequest& sent = fixture.backends.calls[0]->request;
  CHECK(FindHeader(sent.headers, "instance") == "1.1.1.1:1");
  CHECK(std::stoll(std::string(*FindHeader(sent.headers, "left"))) <= 300'000);
}

TEST_CASE("A repeatable request goes on elsewhere after a cut, within its attempts") {
  Fixture fixture;
  for (const char* address : {"1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3", "1.1.1.1:4"}) {
    fixture.Add(address, [](const HttpRequest&) { return Of(FakeAnswer::Kind::kCutBody); });
  }
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kFailed);
  CHECK(fixture.backends.SentRequests() == 2);
}

TEST_CASE("A request that runs at most once is not sent again after it may have run") {
  Fixture fixture;
  fixture.route().kind = RouteKind::kOnce;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kReset); });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kReset); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kFailed);
  CHECK(fixture.backends.SentRequests() == 1);
}

/// The request of the fixture is held for `since`; the pause before its trial is over if not given.
void Hold(Fixture& fixture, FakeRegister& cluster, Duration since = kClientTrialPauses.front()) {
  fixture.service_.SetSuspectRegister(cluster);
  SuspectRequest held;
  const TenantName nobody;
  held.request = FingerprintOf({"POST", "a.example", "/p/x", nobody, "body"});
  held.place = PlaceOf("a.example", "/p/x");
  held.crashed = {InstanceId("i1"), InstanceId("i2")};
  fixture.configuration.suspects[held.request] = held;
  fixture.service_.Update(fixture.configuration);
  fixture.scheduler.RunFor(since);
}

TEST_CASE("What this node has seen served lately is not withheld, and cleared for all") {
  Fixture fixture;
  FakeRegister cluster;
  fixture.service_.SetSuspectRegister(cluster);
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  // Other nodes counted the crashes of an outage against it.
  Hold(fixture, cluster, std::chrono::milliseconds(100));
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(cluster.trials == 0);
  CHECK(cluster.cleared == std::vector<size_t>{2});
}

TEST_CASE("A trial is one send, also if the back end refuses it") {
  Fixture fixture;
  FakeRegister cluster;
  Hold(fixture, cluster);
  for (const char* address : {"1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"}) {
    fixture.Add(address, [](const HttpRequest&) { return Refusal(); });
  }
  // The trial is over, by the time that the cluster knows of it.
  cluster.grants_once = true;
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(fixture.backends.SentRequests() == 1);
}

TEST_CASE("A held request is answered as not run, with the time when it may be tried") {
  Fixture fixture;
  FakeRegister cluster;
  Hold(fixture, cluster);
  cluster.grants = false;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(result->retry_after >= std::chrono::seconds(1));
  CHECK(fixture.backends.SentRequests() == 0);
  CHECK(fixture.took < milliseconds(20));
}

TEST_CASE("A trial that is answered clears the request, and one that reaches nobody goes on") {
  Fixture fixture;
  FakeRegister cluster;
  Hold(fixture, cluster);
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kUnreachable); });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kUnreachable); });
  fixture.Add("1.1.1.1:3", [](const HttpRequest&) { return Ok(); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(cluster.cleared == std::vector<size_t>{2});
}

TEST_CASE("A request that runs at most once may move on from a refusal") {
  Fixture fixture;
  fixture.route().kind = RouteKind::kOnce;
  bool refused = false;
  const auto script = [&refused](const HttpRequest&) {
    return std::exchange(refused, true) ? Ok() : Refusal();
  };
  fixture.Add("1.1.1.1:1", script);
  fixture.Add("1.1.1.1:2", script);
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.backends.SentRequests() == 2);
}

TEST_CASE("A request that nobody takes is told when to come back, before its time is over") {
  Fixture fixture;
  fixture.route().kind = RouteKind::kOnce;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Refusal(); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(result->retry_after > Duration(0));
  CHECK(fixture.took < milliseconds(600));
}

TEST_CASE("A silent back end is hedged for a repeatable request only") {
  for (const bool repeatable : {true, false}) {
    Fixture fixture;
    fixture.route().kind = repeatable ? RouteKind::kRepeatable : RouteKind::kOnce;
    bool first = true;
    const auto script = [&first](const HttpRequest&) {
      return std::exchange(first, false) ? Of(FakeAnswer::Kind::kSilence) : Ok();
    };
    fixture.Add("1.1.1.1:1", script);
    fixture.Add("1.1.1.1:2", script);
    const auto result = fixture.Forward();
    REQUIRE(result);
    const auto wanted = repeatable ? ForwardOutcome::kAnswered : ForwardOutcome::kTimedOut;
    CHECK(result->outcome == wanted);
    CHECK(fixture.took <= milliseconds(801));
    // The one that is not wanted any more is cancelled.
    CHECK(fixture.backends.calls[0]->cancelled);
  }
}

TEST_CASE("An answer to another request is never passed on") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) {
    FakeAnswer answer = Ok();
    answer.headers.push_back({"stranger", "1"});
    return answer;
  });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kFailed);
}

TEST_CASE("A life that is over gets nothing more, whatever the directory says") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) {
    return FakeAnswer{FakeAnswer::Kind::kAnswer, 421, {}, {""}};
  });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Ok(); });
  for (int i = 0; i < 20; ++i) REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.backends.CountAt("1.1.1.1:1") <= 1);
}

TEST_CASE("A back end that is leaving gets nothing more") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Ok(); });
  fixture.configuration.instances[InstanceId("1.1.1.1:1")].state = MemberState::kLeaving;
  for (int i = 0; i < 20; ++i) REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.backends.CountAt("1.1.1.1:1") == 0);
}

TEST_CASE("Of two lives at one address the later one is meant") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  BackendInstance later = LiveInstance("1.1.1.1:1", "pages");
  later.id = InstanceId("later");
  later.registered_at = Revision(2);
  fixture.configuration.instances[later.id] = later;
  for (int i = 0; i < 5; ++i) REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  for (const auto& call : fixture.backends.calls) {
    CHECK(FindHeader(call->request.headers, "instance") == "later");
  }
}

TEST_CASE("A request whose client has gone is cancelled at its back end") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kSilence); });
  fixture.service_.Update(fixture.configuration);
  const auto flow = fixture.service_.Forward({{"POST", "/p/x", {}, ""}, "a.example", "id", {}},
                                             [](const ForwardResult&) { FAIL("answered"); });
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(fixture.backends.SentRequests() == 1);
  fixture.service_.Cancel(flow);
  CHECK(fixture.backends.calls[0]->cancelled);
  fixture.scheduler.RunFor(milliseconds(2000));
}

}  // namespace
}  // namespace millstair
