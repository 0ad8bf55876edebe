// Polling of engines and sharing of the reports between gateways.
#include "gateway/engine_observer.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "test/gateway/gateway_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Engines that return configurable reports and cache events.
class FakeEngines : public EngineClient {
 public:
  std::unique_ptr<CallHandle> Generate(const std::string&, GenerateRequest,
                                       GenerateObserver&) override {
    return nullptr;
  }
  void SendOrder(const std::string&, const EngineOrder&,
                 std::function<void(absl::Status)>) override {}
  void FetchReport(const std::string& address,
                   std::function<void(absl::StatusOr<EngineReport>)> done) override {
    ++polls[address];
    const auto found = reports.find(address);
    if (found == reports.end()) {
      done(absl::UnavailableError("down"));
    } else {
      done(found->second);
    }
  }
  void FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                        std::function<void(absl::StatusOr<CacheEvents>)> done) override {
    if (resync) ++resyncs[address];
    CacheEvents answer = events[address];
    std::erase_if(answer.events, [after, resync](const CacheEvent& event) {
      return !resync && event.sequence <= after;
    });
    done(answer);
  }

  std::map<std::string, EngineReport> reports;
  std::map<std::string, CacheEvents> events;
  std::map<std::string, int> polls;
  std::map<std::string, int> resyncs;
};

class UnreachableHttp : public HttpCaller {
 public:
  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest, HttpCallObserver&) override {
    return nullptr;
  }
};

class Gateways;

/// Delivers messages to the other gateways of a test after 1 ms.
class LinkedTransport : public PeerTransport {
 public:
  LinkedTransport(Gateways& gateways, NodeId self) : gateways_(gateways), self_(std::move(self)) {}
  void Send(const NodeId& to, PeerMessage message) override;
  void SetAddress(const NodeId&, const std::string&) override {}

 private:
  Gateways& gateways_;
  NodeId self_;
};

struct GatewayUnderTest {
  explicit GatewayUnderTest(Gateways& gateways, const std::string& name, const std::string& zone);
  VirtualEnvironment environment;
  LinkedTransport transport;
  FakeConfigurationClient configuration;
  EngineRouter router;
  EngineObserver observer;
  bool drops_messages = false;
};

class Gateways {
 public:
  Gateways() {
    for (const char* engine : {"a", "b"}) builder.Engine(engine, "z1");
    builder.Engine("far", "z2");
    for (const char* engine : {"a:1", "b:1", "far:1"}) engines.reports[engine] = ReportWith(4);
  }
  void Add(const std::string& name, const std::string& zone) {
    builder.Gateway(name, zone);
    nodes[name] = std::make_unique<GatewayUnderTest>(*this, name, zone);
  }
  void Start() {
    Configure();
    for (auto& [name, node] : nodes) node->observer.Start();
  }
  void Configure() {
    const Configuration configuration = builder.Build();
    for (auto& [name, node] : nodes) {
      node->configuration.Set(configuration);
      node->router.UpdateConfiguration(configuration);
    }
  }
  bool Knows(const std::string& gateway, const std::string& engine) {
    const EngineView* view = nodes[gateway]->router.FindEngine(EngineName(engine));
    return view != nullptr && view->load.has_report();
  }
  uint32_t Running(const std::string& gateway, const std::string& engine) {
    const EngineView* view = nodes[gateway]->router.FindEngine(EngineName(engine));
    return view->load.report().running_sequences;
  }

  VirtualScheduler scheduler{1};
  ConfigurationBuilder builder;
  FakeEngines engines;
  UnreachableHttp http;
  std::map<std::string, std::unique_ptr<GatewayUnderTest>> nodes;
  int messages = 0;
};

RouterOptions InZone(const std::string& zone) {
  RouterOptions options;
  options.zone = Zone(zone);
  return options;
}

NodeRecord Record(const std::string& name, const std::string& zone) {
  NodeRecord record;
  record.node = NodeId(name);
  record.zone = Zone(zone);
  record.gateway = true;
  return record;
}

GatewayUnderTest::GatewayUnderTest(Gateways& gateways, const std::string& name,
                                   const std::string& zone)
    : environment(gateways.scheduler, std::hash<std::string>()(name)),
      transport(gateways, NodeId(name)),
      router(environment, InZone(zone)),
      observer(environment, transport, gateways.engines, gateways.http, configuration, router,
               Record(name, zone), ObserverOptions{}) {}

void LinkedTransport::Send(const NodeId& to, PeerMessage message) {
  ++gateways_.messages;
  gateways_.scheduler.Schedule(milliseconds(1), [this, to, message] {
    const auto found = gateways_.nodes.find(to.value());
    if (found == gateways_.nodes.end() || found->second->drops_messages) return;
    found->second->observer.Receive(self_, message);
  });
}

TEST_CASE("gateways of the zone get reports from the observers, other zones by summary") {
  Gateways g;
  for (const char* name : {"g1", "g2", "g3", "g4"}) g.Add(name, "z1");
  g.Add("h1", "z2");
  g.Add("h2", "z2");
  g.Start();
  g.scheduler.RunFor(seconds(4));
  for (const char* name : {"g1", "g2", "g3", "g4", "h1", "h2"}) {
    CAPTURE(name);
    CHECK(g.Knows(name, "a"));
    CHECK(g.Knows(name, "b"));
    CHECK(g.Knows(name, "far"));
  }
  // Two observers poll four times per second each, regardless of the number of gateways.
  CHECK(g.engines.polls["a:1"] < 4 * 4 * 2 + 8);
  g.engines.reports["a:1"] = ReportWith(20);
  g.scheduler.RunFor(seconds(2));
  for (const char* name : {"g1", "g2", "g3", "g4", "h1", "h2"}) CHECK(g.Running(name, "a") == 20);
}

TEST_CASE("the second observer shares when the first does not") {
  Gateways g;
  for (const char* name : {"g1", "g2", "g3"}) g.Add(name, "z1");
  g.Start();
  g.scheduler.RunFor(seconds(2));
  const auto& observers = g.nodes["g1"]->router.observers().Observers(EngineName("a"));
  REQUIRE(observers.size() == 2);
  const std::string first = observers[0].value();
  std::string third;
  for (const char* name : {"g1", "g2", "g3"}) {
    const NodeId node{std::string(name)};
    if (node != observers[0] && node != observers[1]) third = name;
  }
  g.nodes[first]->observer.Stop();
  g.engines.reports["a:1"] = ReportWith(9);
  g.scheduler.RunFor(seconds(4));
  CHECK(g.Running(third, "a") == 9);
}

TEST_CASE("cache events are shared, and a gateway that missed some reads all blocks again") {
  Gateways g;
  for (const char* name : {"g1", "g2", "g3"}) g.Add(name, "z1");
  EngineReport report = ReportWith(4);
  report.newest_cache_event = 2;
  g.engines.reports["a:1"] = report;
  CacheEvents events;
  events.incarnation = Incarnation(1);
  events.events = {{1, true, 11}, {2, true, 12}};
  events.newest = 2;
  g.engines.events["a:1"] = events;
  g.Start();
  g.scheduler.RunFor(seconds(6));
  const auto held = [&g](const std::string& name) {
    EngineRouter& router = g.nodes[name]->router;
    return router.prefixes().LeadingHeld(*router.SlotOf(EngineName("a")), {11, 12, 13});
  };
  for (const char* name : {"g1", "g2", "g3"}) CHECK(held(name) == 2);

  // The gateway that does not observe the engine loses all messages for a while.
  const auto& observers = g.nodes["g1"]->router.observers().Observers(EngineName("a"));
  std::string third;
  for (const char* name : {"g1", "g2", "g3"}) {
    const NodeId node{std::string(name)};
    if (node != observers[0] && node != observers[1]) third = name;
  }
  g.nodes[third]->drops_messages = true;
  events.events.push_back({3, true, 13});
  events.newest = 3;
  g.engines.events["a:1"] = events;
  g.engines.reports["a:1"].newest_cache_event = 3;
  g.scheduler.RunFor(seconds(2));
  CHECK(held(third) == 2);
  g.nodes[third]->drops_messages = false;
  events.events.push_back({4, true, 14});
  events.newest = 4;
  g.engines.events["a:1"] = events;
  g.engines.reports["a:1"].newest_cache_event = 4;
  g.scheduler.RunFor(seconds(8));
  CHECK(held(third) == 3);
  CHECK(g.engines.resyncs["a:1"] >= 1);
}

TEST_CASE("changes are reported to the control nodes immediately, unchanged state periodically") {
  Gateways g;
  g.Add("g1", "z1");
  g.Start();
  g.scheduler.RunFor(seconds(4));
  auto& reports = g.nodes["g1"]->configuration.reports;
  const size_t before = reports.size();
  CHECK(before <= 6);
  EngineReport draining = ReportWith(4);
  draining.draining = true;
  g.engines.reports["a:1"] = draining;
  g.scheduler.RunFor(milliseconds(400));
  REQUIRE(reports.size() > before);
  const auto reported = std::find_if(reports.begin(), reports.end(), [](const auto& report) {
    return report.engine == EngineName("a") && report.leaving;
  });
  CHECK(reported != reports.end());
  CHECK_FALSE(g.nodes["g1"]->router.MayTakeWork(EngineName("a")));
}

TEST_CASE("a malformed message is counted and changes nothing") {
  Gateways g;
  g.Add("g1", "z1");
  g.Start();
  g.scheduler.RunFor(seconds(1));
  for (const std::string& bytes : {std::string("\xff\xff\xff"), std::string(100, '\x0a')}) {
    g.nodes["g1"]->observer.Receive(NodeId("x"), {MessageKind::kEngineReport, bytes});
  }
  CHECK(g.nodes["g1"]->observer.counters().bad_messages == 2);
  EngineObservationsMessage message;
  ObservedEngineState state;
  state.engine = EngineName("nowhere");
  state.report = ReportWith(3);
  message.engines.push_back(state);
  g.nodes["g1"]->observer.Receive(NodeId("x"),
                                  {MessageKind::kEngineReport, EncodeObservations(message)});
  CHECK(g.nodes["g1"]->router.FindEngine(EngineName("nowhere")) == nullptr);
}

TEST_CASE("observations survive encoding and decoding") {
  EngineObservationsMessage message;
  message.relay = true;
  ObservedEngineState state;
  state.engine = EngineName("a");
  state.report = ReportWith(7);
  state.report.age = milliseconds(123);
  state.report.waiting_prefill_tokens = 5000000000ULL;
  SharedCache cache;
  cache.after = 9;
  cache.events.incarnation = Incarnation(1);
  cache.events.newest = 11;
  cache.events.gap = true;
  cache.events.events = {{10, true, 0xffffffffffffffffULL}, {11, false, 5}};
  state.cache = cache;
  message.engines.push_back(state);
  const auto decoded = DecodeObservations(EncodeObservations(message));
  REQUIRE(decoded.ok());
  CHECK(decoded->relay);
  REQUIRE(decoded->engines.size() == 1);
  const ObservedEngineState& back = decoded->engines[0];
  CHECK(back.report.running_sequences == 7);
  CHECK(back.report.age == milliseconds(123));
  CHECK(back.report.waiting_prefill_tokens == 5000000000ULL);
  CHECK(back.report.step_time == state.report.step_time);
  REQUIRE(back.cache);
  CHECK(back.cache->after == 9);
  CHECK(back.cache->events.gap);
  REQUIRE(back.cache->events.events.size() == 2);
  CHECK(back.cache->events.events[0].block == 0xffffffffffffffffULL);
  CHECK_FALSE(back.cache->events.events[1].stored);
}

}  // namespace
}  // namespace millstair
