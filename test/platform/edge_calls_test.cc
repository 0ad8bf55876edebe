/// Calls of clients at a gateway whose control node and back end are scripted, in virtual time.
#include "platform/edge_calls.h"

#include <catch2/catch.hpp>

#include "cluster/control_messages.h"
#include "fmt/format.h"
#include "platform/routing_codec.h"
#include "platform/server_wire.h"
#include "test/ingress/fake_backends.h"
#include "test/platform/answer_writer.h"

namespace millstair::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A control node that answers heartbeats with a routing document, unless it is cut off.
class ScriptedControl : public PeerTransport {
 public:
  explicit ScriptedControl(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void SetAddress(const NodeId&, const std::string&) override {}
  void Send(const NodeId& to, PeerMessage message) override {
    if (message.kind != MessageKind::kHeartbeat || cut_off) return;
    const auto heartbeat = DecodeHeartbeat(message.payload);
    NodeHeartbeatReply reply{heartbeat->nonce, revision, ""};
    if (heartbeat->sender.applied < revision) reply.delta = EncodeDelta(Delta());
    scheduler_.Schedule(milliseconds(1), [this, to, reply] {
      node->Receive(to, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
    });
  }
  /// A push proves nothing: it may come from a control node that is behind.
  void Push() {
    node->Receive(NodeId("c1"),
                  {MessageKind::kConfigurationPush, EncodeConfigurationPush(EncodeDelta(Delta()))});
  }
  void Replace(std::string content) {
    document = std::move(content);
    revision = Next(revision);
  }

  IngressNode* node = nullptr;
  bool cut_off = false;
  std::string document;
  Revision revision;

 private:
  ConfigurationDelta Delta() const {
    ConfigurationDelta delta;
    delta.to = revision;
    delta.full = true;
    delta.routing = RoutingDocument{revision.value(), document};
    delta.changed_instances = {LiveInstance("b:1", "pages")};
    return delta;
  }

  VirtualScheduler& scheduler_;
};

std::string Document(uint64_t version, const std::string& keys) {
  return fmt::format(
      R"({{"version":{},"routes":[
          {{"name":"r","host":"h","path_prefix":"/p/","kind":"safe","timeout_ms":800,
            "target_ms":150,"attempts":2,"service":"pages"}},
          {{"name":"o","host":"h","path_prefix":"/open/","kind":"safe","timeout_ms":800,
            "target_ms":150,"attempts":2,"service":"pages","public":true}},
          {{"name":"j","host":"h","path_prefix":"/j/","kind":"rollout","deadline_ms":7500,
            "queue_ttl_s":40,"attempts":3,"service":"pages"}}],
          "services":[{{"name":"pages"}}],"limits":{{}},
          "tenants":[{{"name":"t1","api_keys":[{}]}}]}})",
      version, keys);
}

class Fixture {
 public:
  Fixture() : control(scheduler) {
    backends.Serve("b:1", [](const HttpRequest& request) {
      const auto id = FindHeader(request.headers, "Request-Id");
      return FakeAnswer{FakeAnswer::Kind::kAnswer,
                        200,
                        {{"Request-Id", std::string(id.value_or(""))}, {"Stamp", "s"}},
                        {"whole"}};
    });
    IngressNodeOptions options;
    options.self.node = NodeId("g1");
    options.self.zone = Zone("z1");
    options.control_nodes = {{NodeId("c1"), "1:1", Zone("z1")}};
    options.usage_window = seconds(5);
    node = std::make_unique<IngressNode>(environment, control, backends, wire, codec, options);
    control.node = node.get();
    control.Replace(Document(1, R"("key-1","key-2")"));
    calls = std::make_unique<EdgeCalls>(*node);
  }

  void Start() {
    node->Start();
    scheduler.RunFor(milliseconds(200));
  }

  Answer Ask(const std::string& method, const std::string& target, const std::string& key,
             const std::string& body = "") {
    HttpHeaders headers = {{"Host", "h"}, {"Request-Id", "id-1"}};
    if (!key.empty()) headers.push_back({"Key", key});
    const auto answer = std::make_shared<Answer>();
    calls->Handle({method, target, headers, body}, std::make_shared<AnswerWriter>(answer));
    scheduler.RunFor(milliseconds(100));
    return *answer;
  }
  int Page(const std::string& key) { return Ask("POST", "/p/x", key).status; }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  FakeBackends backends{scheduler};
  ServerWire wire;
  RoutingCodec codec;
  ScriptedControl control;
  std::unique_ptr<IngressNode> node;
  std::unique_ptr<EdgeCalls> calls;
};

TEST_CASE("A request runs for its key's tenant, and the key goes no further") {
  Fixture fixture;
  fixture.Start();
  CHECK(fixture.Page("key-1") == 200);
  REQUIRE(fixture.backends.calls.size() == 1);
  const HttpHeaders& sent = fixture.backends.calls[0]->request.headers;
  CHECK(FindHeader(sent, "Tenant") == "t1");
  CHECK_FALSE(FindHeader(sent, "Key").has_value());
}

TEST_CASE("A node that goes while requests run leaves them behind in order") {
  Fixture fixture;
  fixture.Start();
  fixture.backends.Serve("b:1", [](const HttpRequest&) {
    FakeAnswer silent;
    silent.kind = FakeAnswer::Kind::kSilence;
    return silent;
  });
  CHECK(fixture.Page("key-1") == 0);
  fixture.calls.reset();
  fixture.node.reset();
  REQUIRE(fixture.backends.calls.size() == 1);
  CHECK(fixture.backends.calls[0]->cancelled);
}

TEST_CASE("Without a key that a tenant holds only public routes are served") {
  Fixture fixture;
  fixture.Start();
  for (const char* key : {"", "key-9"}) {
    CHECK(fixture.Page(key) == 401);
    CHECK(fixture.Ask("POST", "/j/x", key, "{}").status == 401);
    CHECK(fixture.Ask("GET", "/v1/lots/a?since_rev=0", key).status == 401);
    CHECK(fixture.Ask("GET", "/v1/items/a?id=b", key).status == 401);
    CHECK(fixture.Ask("DELETE", "/v1/lots/a", key).status == 401);
    CHECK(fixture.Ask("POST", "/open/x", key).status == 200);
    CHECK(fixture.Ask("POST", "/nowhere/x", key).status == 404);
  }
  CHECK(fixture.backends.calls.size() == 2);
}

TEST_CASE("A key that is taken away is refused once the configuration is there") {
  Fixture fixture;
  fixture.Start();
  CHECK(fixture.Page("key-2") == 200);
  fixture.control.Replace(Document(2, R"("key-1")"));
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.Page("key-2") == 401);
  CHECK(fixture.Page("key-1") == 200);
}

TEST_CASE("A node that was handed an unproven configuration admits nobody by key") {
  Fixture fixture;
  fixture.control.cut_off = true;
  fixture.Start();
  CHECK(fixture.Page("key-1") == 503);
  fixture.control.Push();
  const Answer answer = fixture.Ask("POST", "/p/x", "key-1");
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After").has_value());
  CHECK(fixture.Ask("POST", "/open/x", "").status == 200);
  CHECK(fixture.backends.calls.size() == 1);
  fixture.control.cut_off = false;
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.Page("key-1") == 200);
}

TEST_CASE("A node out of touch serves known keys and refuses no unknown one for good") {
  Fixture fixture;
  fixture.Start();
  fixture.control.cut_off = true;
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.Page("key-1") == 200);
  CHECK(fixture.Page("key-9") == 503);
  // A route may be newer than what it holds.
  CHECK(fixture.Ask("POST", "/nowhere/x", "key-1").status == 503);
}

}  // namespace
}  // namespace millstair::platform
