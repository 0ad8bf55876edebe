#include "simulator/network/http_fabric.h"

#include <catch2/catch.hpp>
#include <vector>

namespace millstair::simulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Answer : public HttpCallObserver {
 public:
  void OnHead(const HttpResponseHead& head) override { status = head.status; }
  void OnBody(std::string bytes) override { body += bytes; }
  void OnFinished() override { finished = true; }
  void OnFailed(CallFailure how, const std::string&) override { failure = how; }

  int status = 0;
  std::string body;
  bool finished = false;
  std::optional<CallFailure> failure;
};

class HoldingHandler : public RequestHandler {
 public:
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override {
    requests.push_back(std::move(request));
    writer->OnCallerDisconnected([this] { caller_gone = true; });
    writers.push_back(std::move(writer));
  }

  std::vector<HttpRequest> requests;
  std::vector<std::shared_ptr<ResponseWriter>> writers;
  bool caller_gone = false;
};

/// A client, and a server whose handler withholds its responses.
struct Exchange {
  Exchange() {
    fabric.AddAddress("10.0.0.2:80", server);
    fabric.Listen("10.0.0.2:80", handler);
  }
  std::unique_ptr<CallHandle> Call() {
    return fabric.Start(client, "10.0.0.2:80", {"GET", "/x", {}, ""}, answer);
  }
  std::vector<Link> BothWays() const { return {{client, server}, {server, client}}; }

  VirtualScheduler scheduler{1};
  Network network{scheduler, {}};
  HostId client = network.AddHost("client", Zone("a"));
  HostId server = network.AddHost("server", Zone("b"));
  HttpFabric fabric{network};
  HoldingHandler handler;
  Answer answer;
};

}  // namespace

TEST_CASE("A response arrives complete and in order", "[simulator]") {
  Exchange exchange;
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(milliseconds(2));
  REQUIRE(exchange.handler.requests.size() == 1);
  ResponseWriter& writer = *exchange.handler.writers[0];
  writer.SendHead({200, {}});
  writer.SendBody("one ");
  writer.SendBody("two");
  writer.Finish();
  exchange.scheduler.RunFor(milliseconds(2));
  CHECK(exchange.answer.status == 200);
  CHECK(exchange.answer.body == "one two");
  CHECK(exchange.answer.finished);
  CHECK_FALSE(exchange.handler.caller_gone);
}

TEST_CASE("A call to an address without a listener is not sent", "[simulator]") {
  Exchange exchange;
  exchange.fabric.StopListening("10.0.0.2:80");
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(milliseconds(5));
  CHECK(exchange.answer.failure == CallFailure::kNotSent);
}

TEST_CASE("A call over a cut link is not sent", "[simulator]") {
  Exchange exchange;
  exchange.network.Cut({{exchange.server, exchange.client}});
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(seconds(2));
  CHECK(exchange.answer.failure == CallFailure::kNotSent);
  CHECK(exchange.handler.requests.empty());
}

TEST_CASE("A process that ends after receiving the request leaves its outcome unknown",
          "[simulator]") {
  Exchange exchange;
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(milliseconds(2));
  exchange.fabric.StopListening("10.0.0.2:80");
  exchange.fabric.ResetConnections(exchange.server);
  exchange.scheduler.RunFor(milliseconds(5));
  CHECK(exchange.answer.failure == CallFailure::kUnknown);
}

TEST_CASE("A process that ends during its response cuts it", "[simulator]") {
  Exchange exchange;
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(milliseconds(2));
  exchange.handler.writers[0]->SendHead({200, {}});
  exchange.handler.writers[0]->SendBody("half");
  exchange.fabric.ResetConnections(exchange.server);
  exchange.scheduler.RunFor(milliseconds(5));
  CHECK(exchange.answer.body == "half");
  CHECK(exchange.answer.failure == CallFailure::kCut);
}

TEST_CASE("A request is not delivered to a listener that restarted meanwhile", "[simulator]") {
  Exchange exchange;
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(std::chrono::microseconds(100));
  exchange.fabric.StopListening("10.0.0.2:80");
  exchange.fabric.Listen("10.0.0.2:80", exchange.handler);
  exchange.scheduler.RunFor(milliseconds(5));
  CHECK(exchange.handler.requests.empty());
  CHECK(exchange.answer.failure == CallFailure::kUnknown);
}

TEST_CASE("A short cut delays a response, a long one breaks the connection", "[simulator]") {
  Exchange exchange;
  const auto call = exchange.Call();
  exchange.scheduler.RunFor(milliseconds(2));
  exchange.network.Cut(exchange.BothWays());
  exchange.handler.writers[0]->SendHead({200, {}});
  SECTION("short") {
    exchange.scheduler.RunFor(seconds(3));
    CHECK(exchange.answer.status == 0);
    exchange.network.Uncut(exchange.BothWays());
    exchange.handler.writers[0]->Finish();
    exchange.scheduler.RunFor(seconds(1));
    CHECK(exchange.answer.finished);
  }
  SECTION("long") {
    exchange.scheduler.RunFor(seconds(12));
    CHECK(exchange.answer.failure == CallFailure::kUnknown);
    CHECK(exchange.handler.caller_gone);
  }
}

TEST_CASE("A dropped call notifies the handler that the caller disconnected", "[simulator]") {
  Exchange exchange;
  auto call = exchange.Call();
  exchange.scheduler.RunFor(milliseconds(2));
  CHECK(exchange.fabric.OpenAnswers(exchange.server) == 1);
  call.reset();
  exchange.scheduler.RunFor(milliseconds(2));
  CHECK(exchange.handler.caller_gone);
  CHECK(exchange.fabric.OpenAnswers(exchange.server) == 0);
}

}  // namespace millstair::simulator
