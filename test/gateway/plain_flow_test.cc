// Requests to plain back ends: proxying, retries, reported outcomes, once-only execution.
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "test/gateway/gateway_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Text(const boost::json::value& value) { return std::string(value.as_string()); }

HttpRequest Page(const std::string& path) {
  return {"GET", path, {{"X-Request-Id", path}, {"Connection", "x-secret"}, {"X-Secret", "1"}}, ""};
}

TEST_CASE("a page is proxied without hop-by-hop headers") {
  GatewayFixture f;
  f.AddServer("p");
  f.Begin();
  const auto call = f.Send(Page("/gallery/7?size=2"));
  REQUIRE(f.Await(*call));
  CHECK(call->status() == 200);
  CHECK(call->outcome() == "ran");
  const auto answer = boost::json::parse(call->body);
  CHECK(Text(answer.at("path")) == "/gallery/7");
  CHECK(Text(answer.at("request")) == "/gallery/7?size=2");
}

TEST_CASE("refused requests and unreachable servers are retried on another server") {
  GatewayFixture f;
  PlainServerOptions refusing;
  refusing.refusal = 1.0;
  f.AddServer("p", refusing);
  f.AddServer("q");
  f.AddServer("r");
  f.Begin();
  f.http.StopListening("r:1");
  for (int i = 0; i < 30; ++i) {
    const auto call = f.Send(Page("/gallery/" + std::to_string(i)));
    REQUIRE(f.Await(*call));
    CHECK(call->status() == 200);
    CHECK(Text(boost::json::parse(call->body).at("server")) == "q");
  }
}

TEST_CASE("without a usable server, the response says not-run with Retry-After") {
  GatewayFixture f;
  PlainServerOptions refusing;
  refusing.refusal = 1.0;
  f.AddServer("p", refusing);
  f.Begin();
  const auto call = f.Send(Page("/gallery/1"));
  REQUIRE(f.Await(*call));
  CHECK(call->status() == 503);
  CHECK(call->outcome() == "not-run");
  CHECK(call->Header("Retry-After") != "");
  CHECK(f.servers["p"]->executions().empty());
}

TEST_CASE("a request that may have run is never reported as not run") {
  GatewayFaults faults;
  faults.not_run_after_send = GENERATE(false, true);
  GatewayFixture f(faults);
  PlainServerOptions slow;
  slow.delay_min = seconds(5);
  slow.delay_max = seconds(5);
  f.AddServer("p", slow);
  f.Begin();
  const auto call = f.Book("k1", {{"Millstair-Deadline-Ms", "1000"}});
  REQUIRE(f.Await(*call));
  REQUIRE(f.Executions("k1") == 1);
  CHECK((call->outcome() == "not-run") == faults.not_run_after_send);
  if (!faults.not_run_after_send) CHECK(call->outcome() == "unknown");
}

TEST_CASE("a truncated response is also truncated for the caller") {
  GatewayFaults faults;
  faults.finish_truncated = GENERATE(false, true);
  GatewayFixture f(faults);
  PlainServerOptions cutting;
  cutting.cut_answer = 1.0;
  cutting.padding_bytes = 2000;
  f.AddServer("p", cutting);
  f.Begin();
  const auto call = f.Send(Page("/gallery/1"));
  REQUIRE(f.Await(*call));
  CHECK(call->finished == faults.finish_truncated);
}

TEST_CASE("a non-repeatable request runs once, and a resend gets outcome ran") {
  GatewayFixture f;
  f.AddServer("p");
  f.Begin();
  const auto first = f.Book("k1");
  REQUIRE(f.Await(*first));
  CHECK(first->status() == 200);
  f.Run(milliseconds(100));
  const auto again = f.Book("k1");
  REQUIRE(f.Await(*again));
  CHECK(again->status() == 409);
  CHECK(again->outcome() == "ran");
  CHECK(f.Executions("k1") == 1);

  const auto missing = f.Send({"POST", "/bookings", {{"Millstair-Repeatable", "false"}}, "x"});
  REQUIRE(f.Await(*missing));
  CHECK(missing->status() == 400);
  HttpRequest other{"POST",
                    "/bookings",
                    {{"Idempotency-Key", "k1"}, {"Millstair-Repeatable", "false"}},
                    "another drop"};
  const auto reused = f.Send(other);
  REQUIRE(f.Await(*reused));
  CHECK(reused->status() == 422);
}

TEST_CASE("requests with the same key run once; without the claim they run twice") {
  GatewayFaults faults;
  faults.skip_claim = GENERATE(false, true);
  GatewayFixture f(faults);
  f.AddServer("p");
  f.AddServer("q");
  f.Begin();
  const auto first = f.Book("k1");
  f.Run(milliseconds(50));
  const auto second = f.Book("k1");
  REQUIRE(f.Await(*first));
  REQUIRE(f.Await(*second));
  CHECK((f.Executions("k1") == 2) == faults.skip_claim);
}

TEST_CASE("a booking whose response is lost is not retried; a resend gets outcome unknown") {
  GatewayFaults faults;
  faults.repeat_possibly_run = GENERATE(false, true);
  GatewayFixture f(faults);
  PlainServerOptions slow;
  slow.delay_min = milliseconds(200);
  slow.delay_max = milliseconds(200);
  f.AddServer("p", slow);
  f.AddServer("q", slow);
  f.Begin();
  const auto call = f.Book("k1");
  REQUIRE(f.scheduler.RunUntilTrue([&] { return f.Executions("k1") == 1; }, seconds(5)));
  for (auto& [name, server] : f.servers) {
    if (server->executions().empty()) continue;
    server->Crash();
    server->Restart();
  }
  REQUIRE(f.Await(*call));
  CHECK((f.Executions("k1") == 2) == faults.repeat_possibly_run);
  if (faults.repeat_possibly_run) return;
  CHECK(call->status() == 502);
  CHECK(call->outcome() == "unknown");
  const auto again = f.Book("k1");
  REQUIRE(f.Await(*again));
  CHECK(again->status() == 409);
  CHECK(again->outcome() == "unknown");
  CHECK(f.Executions("k1") == 1);
}

TEST_CASE("a refused booking releases its key") {
  GatewayFixture f;
  PlainServerOptions refusing;
  refusing.refusal = 1.0;
  PlainServerModel& server = f.AddServer("p", refusing);
  f.Begin();
  const auto refused = f.Book("k1");
  REQUIRE(f.Await(*refused));
  CHECK(refused->outcome() == "not-run");
  PlainServerOptions willing;
  server.SetOptions(willing);
  f.Run(seconds(1));
  const auto again = f.Book("k1");
  REQUIRE(f.Await(*again));
  CHECK(again->status() == 200);
  CHECK(f.Executions("k1") == 1);
}

TEST_CASE("a booking does not run without a reply from the control nodes") {
  GatewayFixture f;
  f.AddServer("p");
  f.Begin();
  f.control.answers = false;
  const auto call = f.Book("k1");
  REQUIRE(f.Await(*call));
  CHECK(call->status() == 503);
  CHECK(call->outcome() == "not-run");
  CHECK(f.Executions("k1") == 0);
  // The claim was committed although its reply was lost; it is released.
  f.control.answers = true;
  f.Run(seconds(1));
  const auto again = f.Book("k1");
  REQUIRE(f.Await(*again));
  CHECK(again->status() == 200);
}

TEST_CASE("a draining server gets no requests until it is ready again") {
  GatewayFixture f;
  f.AddServer("p");
  f.AddServer("q");
  f.Begin();
  f.servers["p"]->Drain();
  f.Run(seconds(2));
  for (int i = 0; i < 20; ++i) {
    const auto call = f.Send(Page("/gallery/" + std::to_string(i)));
    REQUIRE(f.Await(*call));
    CHECK(call->status() == 200);
  }
  CHECK(f.servers["p"]->arrived_while_draining() == 0);
  bool reported = false;
  for (const EngineObservation& report : f.configuration.reports) {
    reported = reported || (report.engine == EngineName("p") && report.leaving);
  }
  CHECK(reported);
  f.servers["p"]->Undrain();
  f.Run(seconds(2));
  for (int i = 0; i < 20; ++i) REQUIRE(f.Await(*f.Send(Page("/after/" + std::to_string(i)))));
  CHECK(f.servers["p"]->executions().size() > 2);
}

TEST_CASE("a slow server is hedged for repeatable requests only") {
  GatewayFixture f;
  PlainServerOptions slow;
  slow.delay_min = seconds(3);
  slow.delay_max = seconds(3);
  f.AddServer("p", slow);
  f.AddServer("q");
  f.ChangeGroup("pages", [](TrafficGroupSpec& spec) { spec.hedge_after = milliseconds(100); });
  f.Begin();
  for (int i = 0; i < 6; ++i) {
    const auto call = f.Send(Page("/gallery/" + std::to_string(i)));
    const Duration sent = f.scheduler.Now();
    REQUIRE(f.Await(*call));
    CHECK(call->status() == 200);
    CHECK(f.scheduler.Now() - sent < seconds(1));
  }
  CHECK(f.context->counters.hedges > 0);
  for (int i = 0; i < 6; ++i) {
    const std::string key = "k" + std::to_string(i);
    REQUIRE(f.Await(*f.Book(key)));
    CHECK(f.Executions(key) == 1);
  }
}

TEST_CASE("a full queue refuses immediately") {
  GatewayFixture f;
  PlainServerOptions slow;
  slow.delay_min = seconds(1);
  slow.delay_max = seconds(1);
  f.AddServer("p", slow);
  f.ChangeGroup("pages", [](TrafficGroupSpec& spec) {
    spec.max_concurrent = 2;
    spec.max_queued = 1;
  });
  f.Begin();
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 4; ++i) calls.push_back(f.Send(Page("/gallery/" + std::to_string(i))));
  f.Run(milliseconds(50));
  int refused = 0;
  for (const auto& call : calls) {
    if (!call->ended()) continue;
    ++refused;
    CHECK(call->status() == 503);
    CHECK(call->outcome() == "not-run");
  }
  CHECK(refused == 1);
  int answered = 0;
  for (const auto& call : calls) {
    REQUIRE(f.Await(*call));
    if (call->status() == 200) ++answered;
  }
  CHECK(answered == 3);
}

TEST_CASE("a drain lets running requests finish and refuses new ones") {
  GatewayFixture f;
  PlainServerOptions slow;
  slow.delay_min = seconds(1);
  slow.delay_max = seconds(1);
  f.AddServer("p", slow);
  f.Begin();
  bool idle = false;
  f.live->OnIdle([&idle] { idle = true; });
  const auto running = f.Send(Page("/gallery/1"));
  f.Run(milliseconds(100));
  f.live->BeginDrain();
  const auto late = f.Send(Page("/gallery/2"));
  REQUIRE(f.Await(*late));
  CHECK(late->outcome() == "not-run");
  CHECK_FALSE(idle);
  REQUIRE(f.Await(*running));
  CHECK(running->status() == 200);
  f.Run(milliseconds(10));
  CHECK(idle);
}

}  // namespace
}  // namespace millstair
