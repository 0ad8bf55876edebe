/// A gateway that was paused for longer than its lease must not forward requests by replaced
/// routes: it has to confirm its configuration first.
#include <algorithm>
#include <catch2/catch.hpp>

#include "test/platform/ingress_handler_fixture.h"

namespace millstair::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the lease of 4 s that the gateway has here.
constexpr Duration kPause = seconds(5);
/// Bound on the time of a response that waits for a confirmation.
constexpr Duration kMaxWait = milliseconds(300);

constexpr char kBothKeys[] = R"("key-1","key-2")";

/// A gateway with a server of "pages" at b:1 and one of "shop" at b:2.
class PausedGatewayFixture : public IngressHandlerFixture {
 public:
  PausedGatewayFixture() {
    Serve("b:2");
    control.SetInstances({LiveInstance("b:1", "pages"), LiveInstance("b:2", "shop")});
    Start();
  }

  /// Requests sent to back ends, without health checks.
  size_t Attempts() const {
    return static_cast<size_t>(
        std::count_if(backends.calls.begin(), backends.calls.end(),
                      [](const auto& call) { return call->request.method == "POST"; }));
  }

  /// Pauses the node while `change` is made. On return it is awake but has processed nothing yet.
  void PauseDuring(const std::function<void()>& change) {
    environment.Suspend();
    change();
    scheduler.RunFor(kPause);
    environment.Wake();
  }
};

TEST_CASE("A request that is read before an acknowledged change follows the change") {
  PausedGatewayFixture gateway;
  gateway.PauseDuring([&] { gateway.control.Replace(Document(7, kBothKeys, "shop")); });
  const auto answer = gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(answer->status == 200);
  CHECK(gateway.backends.CountAt("b:1") == 0);
  CHECK(gateway.backends.CountAt("b:2") == 1);
}

TEST_CASE("A key that was removed while the gateway was paused is rejected") {
  PausedGatewayFixture gateway;
  gateway.PauseDuring([&] { gateway.control.Replace(Document(7, R"("key-1")")); });
  const auto answer = gateway.Send("POST", "/p/x", "key-2");
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(answer->status == 401);
  CHECK(gateway.backends.calls.empty());
}

// Guards against ends of jobs that wait at a gateway for a configuration that they do not need.
TEST_CASE("Without tenants an end of a job is sent on while the configuration is unconfirmed") {
  PausedGatewayFixture gateway;
  std::string open = Document(7, kBothKeys);
  open.replace(open.find(R"(,
          "tenants")"),
               std::string::npos, "}");
  gateway.control.Replace(open);
  gateway.scheduler.RunFor(seconds(2));
  int ends = 0;
  gateway.control.job_leader = [&ends](const GroupCommand&) {
    ++ends;
    GroupCommandReply reply;
    reply.result = EncodeJobResultCode(JobResultCode::kOk);
    return reply;
  };
  gateway.control.isolated = true;
  gateway.scheduler.RunFor(kPause);
  REQUIRE_FALSE(gateway.node->LeaseValid());
  const auto answer = gateway.Send("DELETE", "/v1/lots/a", "");
  gateway.scheduler.RunFor(milliseconds(10));
  CHECK(ends == 1);
  CHECK(answer->status == 200);
}

/// A document whose route has a timeout longer than the pause.
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

TEST_CASE("A retry after a pause is not sent to a back end that left meanwhile") {
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

/// With "attempts" 1: as the gateway wakes, a hedged attempt is due and the first attempt turns out
/// to have failed to connect. Both wait for the same confirmation, but only one attempt may follow.
TEST_CASE("Attempts that wait for the same confirmation respect the limit of their route") {
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

// Guards against requests that wait for a confirmation in a planned stop and are cut at its end.
TEST_CASE("A node that stops judges a request by the time that is left after its wait") {
  constexpr milliseconds kTimeLimit(800);
  constexpr milliseconds kWait(200);
  for (const bool ends_in_time : {true, false}) {
    PausedGatewayFixture gateway;
    gateway.PauseDuring([&] { gateway.control.isolated = true; });
    const milliseconds left = kTimeLimit + kWait + milliseconds(ends_in_time ? 100 : -100);
    gateway.node->SetLeaving(gateway.environment.Now() + left);
    const auto answer = gateway.Send("POST", "/p/x", "key-1");
    gateway.scheduler.RunFor(seconds(1));
    CHECK(answer->status == (ends_in_time ? 200 : 503));
    CHECK(gateway.backends.calls.size() == (ends_in_time ? 1 : 0));
  }
}

TEST_CASE("A gateway that is isolated after a pause soon serves by its last configuration") {
  PausedGatewayFixture gateway;
  gateway.PauseDuring([&] { gateway.control.isolated = true; });
  const auto answer = gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(kMaxWait);
  CHECK(answer->status == 200);
  // After an unanswered poll requests are no longer delayed.
  const auto next = gateway.Send("POST", "/p/x", "key-1");
  gateway.scheduler.RunFor(milliseconds(20));
  CHECK(next->status == 200);
}

}  // namespace
}  // namespace millstair::platform
