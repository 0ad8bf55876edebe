#include "ingress/forward_flow.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

TEST_CASE("A missing route and a missing configuration have different outcomes") {
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

/// Counts metered requests of the tenant "t", and records when the first one started.
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

TEST_CASE("A request is metered once, and only if it ran") {
  Fixture fixture;
  Metered metered(fixture);
  fixture.tenant = TenantName("t");
  fixture.Add("a:1", [](const HttpRequest&) { return Refusal(); });
  fixture.Add("b:1", [](const HttpRequest&) { return Ok(); });
  REQUIRE(fixture.Forward());
  CHECK(metered.count == 1);
  Fixture refused;
  Metered none(refused);
  refused.tenant = TenantName("t");
  refused.Add("a:1", [](const HttpRequest&) { return Refusal(); });
  REQUIRE(refused.Forward());
  CHECK(none.count == 0);
}

TEST_CASE("A request that was sent and not refused is metered even without a response") {
  const auto kind = GENERATE(FakeAnswer::Kind::kReset, FakeAnswer::Kind::kNoResponse);
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

TEST_CASE("Requests that reach no back end or have no tenant are not metered") {
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

TEST_CASE("The route with the longest matching prefix is selected") {
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

TEST_CASE("A request names the incarnation, and a complete response is passed on") {
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

TEST_CASE("A repeatable request is retried after a truncated response, up to its attempts") {
  Fixture fixture;
  for (const char* address : {"1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3", "1.1.1.1:4"}) {
    fixture.Add(address, [](const HttpRequest&) { return Of(FakeAnswer::Kind::kTruncatedBody); });
  }
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kFailed);
  CHECK(fixture.backends.SentRequests() == 2);
}

TEST_CASE("A request that runs at most once is not retried after it may have run") {
  Fixture fixture;
  fixture.route().kind = RouteKind::kOnce;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kReset); });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kReset); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kFailed);
  CHECK(fixture.backends.SentRequests() == 1);
}

/// Puts the fixture's request on hold and advances the time, by default past the pause before its
/// first trial.
void Hold(Fixture& fixture, FakeRegister& cluster, Duration since = kClientTrialPauses.front()) {
  fixture.service_.SetSuspectRegister(cluster);
  SuspectRequest held;
  const TenantName no_tenant;
  held.request = FingerprintOf({"POST", "a.example", "/p/x", no_tenant, "body"});
  held.place = PlaceOf("a.example", "/p/x");
  held.crashed = {InstanceId("i1"), InstanceId("i2")};
  fixture.configuration.suspects[held.request] = held;
  fixture.service_.Update(fixture.configuration);
  fixture.scheduler.RunFor(since);
}

TEST_CASE("A request that this node served recently is sent, and cleared in the cluster") {
  Fixture fixture;
  FakeRegister cluster;
  fixture.service_.SetSuspectRegister(cluster);
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  // Other nodes counted crashes of an outage against the request.
  Hold(fixture, cluster, std::chrono::milliseconds(100));
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(cluster.trials == 0);
  CHECK(cluster.cleared == std::vector<size_t>{2});
}

TEST_CASE("A trial is used up by one send, even if the back end refuses it") {
  Fixture fixture;
  FakeRegister cluster;
  Hold(fixture, cluster);
  for (const char* address : {"1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"}) {
    fixture.Add(address, [](const HttpRequest&) { return Refusal(); });
  }
  // The cluster refuses a second trial.
  cluster.grants_once = true;
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(fixture.backends.SentRequests() == 1);
}

/// Guards against a proper request that is withheld for a minute because a back end was full, or
/// had restarted, when its trial arrived.
TEST_CASE("A trial that a back end refused is left to the next request of the same content") {
  Fixture fixture;
  FakeRegister cluster;
  Hold(fixture, cluster);
  cluster.grants_once = true;
  bool full = true;
  fixture.Add("1.1.1.1:1", [&full](const HttpRequest&) { return full ? Refusal() : Ok(); });
  const auto refused = fixture.Forward();
  REQUIRE(refused);
  CHECK(refused->outcome == ForwardOutcome::kNotRun);
  CHECK(refused->retry_after < std::chrono::seconds(1));
  full = false;
  const auto answered = fixture.Forward();
  REQUIRE(answered);
  CHECK(answered->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.backends.SentRequests() == 2);
  CHECK(cluster.cleared == std::vector<size_t>{2});
}

TEST_CASE("A trial continues past addresses that other incarnations use") {
  Fixture fixture;
  FakeRegister cluster;
  Hold(fixture, cluster);
  cluster.grants_once = true;
  FakeAnswer other = Refusal();
  other.status = 421;
  fixture.Add("1.1.1.1:1", [other](const HttpRequest&) { return other; });
  fixture.Add("1.1.1.1:2", [other](const HttpRequest&) { return other; });
  fixture.Add("1.1.1.1:3", [](const HttpRequest&) { return Ok(); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(cluster.cleared == std::vector<size_t>{2});
}

TEST_CASE("A held request is answered as not run, with a retry time") {
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

TEST_CASE("A trial continues past unreachable back ends, and a response clears the request") {
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

TEST_CASE("A request that runs at most once is retried after a refusal") {
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

TEST_CASE("A request that all back ends refuse fails before its deadline, with a retry time") {
  Fixture fixture;
  fixture.route().kind = RouteKind::kOnce;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Refusal(); });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(result->retry_after > Duration(0));
  CHECK(fixture.took < milliseconds(600));
}

TEST_CASE("An unresponsive back end is hedged for a repeatable request only") {
  for (const bool repeatable : {true, false}) {
    Fixture fixture;
    fixture.route().kind = repeatable ? RouteKind::kRepeatable : RouteKind::kOnce;
    bool first = true;
    const auto script = [&first](const HttpRequest&) {
      return std::exchange(first, false) ? Of(FakeAnswer::Kind::kNoResponse) : Ok();
    };
    fixture.Add("1.1.1.1:1", script);
    fixture.Add("1.1.1.1:2", script);
    const auto result = fixture.Forward();
    REQUIRE(result);
    const auto wanted = repeatable ? ForwardOutcome::kAnswered : ForwardOutcome::kTimedOut;
    CHECK(result->outcome == wanted);
    CHECK(fixture.took <= milliseconds(801));
    // The unanswered attempt is cancelled.
    CHECK(fixture.backends.calls[0]->cancelled);
  }
}

TEST_CASE("A response to another request is never passed on") {
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

TEST_CASE("A superseded incarnation gets no requests, whatever the configuration says") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) {
    return FakeAnswer{FakeAnswer::Kind::kAnswer, 421, {}, {""}};
  });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Ok(); });
  for (int i = 0; i < 20; ++i) REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.backends.CountAt("1.1.1.1:1") <= 1);
}

TEST_CASE("A back end that is leaving gets no requests") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  fixture.Add("1.1.1.1:2", [](const HttpRequest&) { return Ok(); });
  fixture.configuration.instances[InstanceId("1.1.1.1:1")].state = MemberState::kLeaving;
  for (int i = 0; i < 20; ++i) REQUIRE(fixture.Forward()->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.backends.CountAt("1.1.1.1:1") == 0);
}

TEST_CASE("Of two incarnations at one address the newer one gets the requests") {
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

TEST_CASE("A request whose client has disconnected is cancelled at its back end") {
  Fixture fixture;
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Of(FakeAnswer::Kind::kNoResponse); });
  fixture.service_.Update(fixture.configuration);
  const auto flow = fixture.service_.Forward({{"POST", "/p/x", {}, ""}, "a.example", "id", {}},
                                             [](const ForwardResult&) { FAIL("answered"); });
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(fixture.backends.SentRequests() == 1);
  fixture.service_.Cancel(flow);
  CHECK(fixture.backends.calls[0]->cancelled);
  fixture.scheduler.RunFor(milliseconds(2000));
}

// Guards against retries that multiply the load of back ends that refuse everything.
TEST_CASE("A request is sent a bounded number of times, with growing pauses") {
  const bool admission = GENERATE(false, true);
  Fixture fixture;
  if (admission) fixture.service_.EnableAdmission();
  fixture.route().timeout = milliseconds(5000);
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Refusal(); });
  const auto result = fixture.Forward(std::nullopt, milliseconds(6000));
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(result->retry_after >= milliseconds(20));
  CHECK(fixture.backends.SentRequests() <= fixture.route().attempts + 4);
  const auto& calls = fixture.backends.calls;
  if (admission) return;
  REQUIRE(calls.size() == 6);
  // A response takes 5 ms.
  for (size_t i = 1; i < calls.size(); ++i) {
    const Duration pause = calls[i]->at - calls[i - 1]->at - milliseconds(5);
    CHECK(pause >= milliseconds(10));
    CHECK(pause <= milliseconds(std::min<int64_t>(10 << (i - 1), 40)));
  }
}

// Guards against a wait for a back end that uses up the bound of sends.
TEST_CASE("Waiting for a back end to appear is not a send") {
  Fixture fixture;
  fixture.service_.Update(fixture.configuration);
  std::optional<ForwardResult> result;
  fixture.service_.Forward({{"POST", "/p/x", {}, ""}, "a.example", "id", milliseconds(800)},
                           [&](ForwardResult answer) { result = std::move(answer); });
  fixture.scheduler.RunFor(milliseconds(350));
  REQUIRE_FALSE(result);
  fixture.Add("1.1.1.1:1", [](const HttpRequest&) { return Ok(); });
  fixture.service_.Update(fixture.configuration);
  fixture.scheduler.RunFor(milliseconds(100));
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
}

// Guards against servers that restart, whose requests would be given up before they are back.
TEST_CASE("Back ends that can't be reached are waited for until half of the time limit") {
  Fixture fixture;
  bool up = false;
  const auto script = [&up](const HttpRequest&) {
    return up ? Ok() : Of(FakeAnswer::Kind::kUnreachable);
  };
  for (const char* address : {"1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"}) fixture.Add(address, script);
  fixture.scheduler.Schedule(milliseconds(300), [&up] { up = true; });
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.took >= milliseconds(300));
}

/// A fixture with admission and one back end that refuses its first request and is then limited.
class LimitedFixture : public Fixture {
 public:
  LimitedFixture() {
    service_.EnableAdmission();
    Add("1.1.1.1:1",
        [this](const HttpRequest&) { return std::exchange(refused_, true) ? Ok() : Refusal(); });
    service_.Update(configuration);
    // Demand, a share of which is the floor of the limit.
    for (int i = 0; i < 200; ++i) Start(milliseconds(30));
    scheduler.RunFor(milliseconds(40));
    REQUIRE(refused_);
    results.clear();
    sent_before = backends.SentRequests();
  }

  IngressService::FlowId Start(Duration left = milliseconds(800)) {
    return service_.Forward(
        {{"POST", "/p/x", {}, "body " + std::to_string(++last_)}, "a.example", "id", left},
        [this](ForwardResult result) { results.push_back(std::move(result)); });
  }
  size_t Sent() const { return backends.SentRequests() - sent_before; }

  std::vector<ForwardResult> results;
  size_t sent_before = 0;

 private:
  bool refused_ = false;
  int last_ = 0;
};

// Guards against requests that leave the queue with a configuration that may be out of date.
TEST_CASE("A request that waited in the queue is sent only once the configuration is current") {
  LimitedFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.Start();
  fixture.scheduler.RunFor(milliseconds(1));
  std::vector<std::function<void()>> held;
  fixture.service_.SetWhenCurrent(
      [&held](std::function<void()> work) { held.push_back(std::move(work)); });
  const size_t sent = fixture.Sent();
  REQUIRE(sent < 5);
  fixture.scheduler.RunFor(milliseconds(150));
  CHECK(fixture.Sent() == sent);
  REQUIRE_FALSE(held.empty());
  // Meanwhile the back end began to leave, so that it must not get the request.
  fixture.configuration.instances[InstanceId("1.1.1.1:1")].state = MemberState::kLeaving;
  fixture.service_.Update(fixture.configuration);
  fixture.service_.SetWhenCurrent([](const std::function<void()>& work) { work(); });
  for (const auto& work : held) work();
  fixture.scheduler.RunFor(milliseconds(1000));
  CHECK(fixture.Sent() == sent);
  REQUIRE(fixture.results.size() == 5);
  CHECK(fixture.results.back().outcome == ForwardOutcome::kNotRun);
}

// Guards against a request that is put on hold while it waits, and sent all the same.
TEST_CASE("A request that waited in the queue is not sent if the guard withholds it by then") {
  LimitedFixture fixture;
  FakeRegister cluster;
  cluster.grants = false;
  fixture.service_.SetSuspectRegister(cluster);
  fixture.Start();
  fixture.Start();
  fixture.Start();
  fixture.scheduler.RunFor(milliseconds(1));
  const size_t sent = fixture.Sent();
  REQUIRE(sent < 3);
  for (int i = 1; i <= 203; ++i) {
    SuspectRequest held;
    const TenantName no_tenant;
    const std::string body = "body " + std::to_string(i);
    held.request = FingerprintOf({"POST", "a.example", "/p/x", no_tenant, body});
    held.place = PlaceOf("a.example", "/p/x");
    held.crashed = {InstanceId("i1"), InstanceId("i2")};
    fixture.configuration.suspects[held.request] = held;
  }
  fixture.service_.Update(fixture.configuration);
  fixture.scheduler.RunFor(milliseconds(1000));
  CHECK(fixture.Sent() == sent);
  CHECK(fixture.results.size() == 3);
}

// Guards against sends for callers that have left while their request waited.
TEST_CASE("A queued request whose client has disconnected is not sent") {
  LimitedFixture fixture;
  std::vector<IngressService::FlowId> flows;
  for (int i = 0; i < 5; ++i) flows.push_back(fixture.Start());
  fixture.scheduler.RunFor(milliseconds(1));
  const size_t sent = fixture.Sent();
  REQUIRE(sent < 5);
  for (const auto flow : flows) fixture.service_.Cancel(flow);
  fixture.scheduler.RunFor(milliseconds(2000));
  CHECK(fixture.Sent() == sent);
}

// Guards against a rejection that says "not run" although a back end may have run the request.
TEST_CASE("A rejection after a send is not-run only if no back end may have run the request") {
  for (const bool may_have_run : {false, true}) {
    Fixture fixture;
    fixture.service_.EnableAdmission();
    bool first = true;
    const auto script = [&first, may_have_run](const HttpRequest&) {
      const bool reset = std::exchange(first, false) && may_have_run;
      return reset ? Of(FakeAnswer::Kind::kReset) : Refusal();
    };
    fixture.Add("1.1.1.1:1", script);
    fixture.Add("1.1.1.1:2", script);
    const auto result = fixture.Forward();
    REQUIRE(result);
    CHECK(result->outcome == (may_have_run ? ForwardOutcome::kFailed : ForwardOutcome::kNotRun));
    CHECK(result->attempts <= fixture.route().attempts + 4);
    CHECK_FALSE(result->reason.empty());
  }
}

// Guards against restarts of servers that use up the retry budget, which is for their load.
TEST_CASE("With admission, unreachable back ends use up neither the retry budget nor their limit") {
  Fixture fixture;
  fixture.service_.EnableAdmission();
  const auto script = [](const HttpRequest&) { return Of(FakeAnswer::Kind::kUnreachable); };
  for (const char* address : {"1.1.1.1:1", "1.1.1.1:2"}) fixture.Add(address, script);
  for (int i = 0; i < 20; ++i) {
    const auto result = fixture.Forward();
    REQUIRE(result);
    CHECK(result->outcome == ForwardOutcome::kNotRun);
    CHECK(result->reason.find("no back end") != std::string::npos);
    // Two passes over both.
    CHECK(result->attempts == 4);
  }
}

// Guards against callers that wait for a back end that doesn't exist.
TEST_CASE("With admission, a service without back ends rejects at once") {
  Fixture fixture;
  fixture.service_.EnableAdmission();
  const auto result = fixture.Forward();
  REQUIRE(result);
  CHECK(result->outcome == ForwardOutcome::kNotRun);
  CHECK(result->reason == "no back end is available");
  CHECK(fixture.took < milliseconds(5));
  CHECK(result->retry_after == milliseconds(50));
}

/// A fixture with admission whose back end takes 300 ms, twice the target.
class SlowFixture : public Fixture {
 public:
  SlowFixture() {
    service_.EnableAdmission();
    route().kind = RouteKind::kOnce;
    Add("1.1.1.1:1", [this](const HttpRequest&) {
      FakeAnswer answer = Ok();
      answer.delay = milliseconds(300);
      if (error_status != 0 && ++sent_ % 10 == 0) {
        answer.status = error_status;
        answer.delay = milliseconds(1);
      }
      return answer;
    });
    service_.Update(configuration);
  }
  /// Sends `count` requests 100 ms apart and returns how many were answered.
  int Answered(int count) {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      service_.Forward({{"POST", "/p/x", {}, "body"}, "a.example", "id", milliseconds(800)},
                       [&answered](const ForwardResult& result) {
                         answered += result.outcome == ForwardOutcome::kAnswered ? 1 : 0;
                       });
      scheduler.RunFor(milliseconds(100));
    }
    scheduler.RunFor(milliseconds(1000));
    return answered;
  }

  int error_status = 0;

 private:
  int sent_ = 0;
};

// Guards against a limit on a back end whose errors are faster than its work.
TEST_CASE("Quick errors don't make the other responses of a slow service late") {
  SlowFixture fixture;
  // The limit of the first responses, before the usual time is known, has ended by then.
  fixture.Answered(100);
  fixture.error_status = GENERATE(404, 500);
  CHECK(fixture.Answered(100) == 100);
}

// Guards against a limit with each return of the demand after a pause.
TEST_CASE("A slow service is not limited when requests arrive again after a pause") {
  SlowFixture fixture;
  fixture.Answered(100);
  for (int i = 0; i < 3; ++i) {
    fixture.scheduler.RunFor(std::chrono::seconds(60));
    CHECK(fixture.Answered(10) == 10);
  }
}

}  // namespace
}  // namespace millstair
