/// What users saw: one request ran at a service that only a replaced configuration names, later
/// than the bound after the change had been acknowledged. Eight other gateways served by the new
/// one.
///
/// Order of events: a gateway stands still (its process is stopped, its machine does not run it)
/// for longer than its lease. Meanwhile a change is acknowledged, and a request comes; both wait in
/// its sockets, or the change is no longer pushed to it. As it wakes it reads the request first.
///
/// Cause: it knew by its clock that its configuration was unproven, and asked for no proof before
/// it acted by it. Only a request without a route was put off.
///
/// Evidence, from the log of a real process that stood still for 8.7 s (scripts/soak, seed 422): it
/// wakes at 19.995, refuses seven requests without a route in that millisecond, since the routes
/// may be too old, and forwards one by version 121 with a proof of 8,738 ms. The proof of version
/// 135 comes 14 ms after it woke; version 126 had moved the route.
#include <algorithm>
#include <catch2/catch.hpp>

#include "test/platform/ingress_handler_fixture.h"

namespace millstair::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the lease of 4 s that the gateway has here.
constexpr Duration kPause = seconds(5);
/// An answer that is put off for a proof comes within this time.
constexpr Duration kMaxWait = milliseconds(300);

constexpr char kBothKeys[] = R"("key-1","key-2")";

/// A gateway before a server of "pages" at b:1 and one of "shop" at b:2.
class PausedGatewayFixture : public IngressHandlerFixture {
 public:
  PausedGatewayFixture() {
    Serve("b:2");
    control.SetInstances({LiveInstance("b:1", "pages"), LiveInstance("b:2", "shop")});
    Start();
  }

  /// Requests that were sent to back ends; questions for their health are none.
  size_t Attempts() const {
    return static_cast<size_t>(
        std::count_if(backends.calls.begin(), backends.calls.end(),
                      [](const auto& call) { return call->request.method == "POST"; }));
  }

  /// Stands still while `change` is made; the next thing that the node does is what its caller
  /// has it do.
  void PauseDuring(const std::function<void()>& change) {
    environment.Suspend();
    change();
    scheduler.RunFor(kPause);
    environment.Wake();
  }
};

TEST_CASE("A request that is read before a change goes by the change") {
  PausedGatewayFixture gateway;
  gateway.PauseDuring([&] { gateway.control.Replace(Document(7, kBothKeys, "shop")); });
  const auto answer = gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(answer->status == 200);
  CHECK(gateway.backends.CountAt("b:1") == 0);
  CHECK(gateway.backends.CountAt("b:2") == 1);
}

TEST_CASE("A key that was taken away while its gateway stood still admits nobody") {
  PausedGatewayFixture gateway;
  gateway.PauseDuring([&] { gateway.control.Replace(Document(7, R"("key-1")")); });
  const auto answer = gateway.Send("POST", "/p/x", "key-2");
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(answer->status == 401);
  CHECK(gateway.backends.calls.empty());
}

/// A document whose route gives a request more time than the gateway stands still.
std::string LongTimeoutDocument() {
  std::string document = Document(7, kBothKeys);
  const std::string limit = R"("timeout_ms":800)";
  return document.replace(document.find(limit), limit.size(), R"("timeout_ms":20000)");
}

FakeAnswer NoResponse() {
  FakeAnswer none;
  none.kind = FakeAnswer::Kind::kNoResponse;
  return none;
}

TEST_CASE("A further try as a gateway wakes goes to no back end that left meanwhile") {
  PausedGatewayFixture gateway;
  for (const char* const address : {"b:1", "b:3"}) {
    gateway.backends.Serve(address, [](const HttpRequest&) { return NoResponse(); });
  }
  gateway.control.Replace(LongTimeoutDocument());
  gateway.control.SetInstances({LiveInstance("b:1", "pages"), LiveInstance("b:3", "pages")});
  gateway.scheduler.RunFor(seconds(2));
  gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(milliseconds(20));
  REQUIRE(gateway.backends.calls.size() == 1);
  const std::string first = gateway.backends.calls[0]->address;
  const std::string other = first == "b:1" ? "b:3" : "b:1";
  gateway.PauseDuring([&] { gateway.control.SetInstances({LiveInstance(first, "pages")}); });
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(gateway.backends.CountAt(other) == 0);
}

/// The route allows one back end for a request. As the gateway wakes, a try beside the first is
/// due, and it turns out that the first reached nobody: both want to send, and wait for the same
/// proof.
TEST_CASE("Tries that waited for one proof keep to the attempts of their route") {
  PausedGatewayFixture gateway;
  FakeAnswer unreachable;
  unreachable.kind = FakeAnswer::Kind::kUnreachable;
  unreachable.delay = milliseconds(20) + kPause + milliseconds(1);
  std::vector<BackendInstance> live;
  for (const char* const address : {"b:1", "b:3", "b:4"}) {
    live.push_back(LiveInstance(address, "pages"));
    gateway.backends.Serve(address, [&](const HttpRequest&) {
      return gateway.backends.calls.size() == 1 ? unreachable : NoResponse();
    });
  }
  std::string document = LongTimeoutDocument();
  const std::string attempts = R"("attempts":2)";
  gateway.control.Replace(
      document.replace(document.find(attempts), attempts.size(), R"("attempts":1)"));
  gateway.control.SetInstances(live);
  gateway.scheduler.RunFor(seconds(2));
  gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(milliseconds(20));
  REQUIRE(gateway.backends.calls.size() == 1);
  gateway.PauseDuring([] {});
  gateway.scheduler.RunFor(seconds(3));
  CHECK(gateway.Attempts() == 2);
}

TEST_CASE("A gateway that wakes where no control node answers serves by what it holds, soon") {
  PausedGatewayFixture gateway;
  gateway.PauseDuring([&] { gateway.control.isolated = true; });
  const auto answer = gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(answer->status == 200);
  // Once it has asked in vain it puts nothing off any more.
  const auto next = gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(milliseconds(20));
  CHECK(next->status == 200);
}

}  // namespace
}  // namespace millstair::platform
