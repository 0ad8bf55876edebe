#include "routing/engine_router.h"

#include <catch2/catch.hpp>
#include <map>

#include "common/virtual_environment.h"
#include "test/routing/configuration_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Fixture {
 public:
  explicit Fixture(RoutingPolicy policy = RoutingPolicy::kEstimate) {
    RouterOptions options;
    options.zone = Zone("z1");
    options.policy = policy;
    router = std::make_unique<EngineRouter>(environment, options);
  }
  void Configure() { router->UpdateConfiguration(builder.Build()); }
  void Report(const std::string& engine, const EngineReport& report) {
    router->ApplyReport(EngineName(engine), report, environment.Now());
  }
  /// Name of the selected engine, "" for none.
  std::string Choose(const RoutingRequest& request = LiveRequest(),
                     const ResourceKey& workload = LiveGroup()) {
    const auto placement = router->Place(workload, request);
    return placement ? placement->choice.engine.value() : "";
  }
  /// Counts the selected engines over `count` requests, each of which ends at once.
  std::map<std::string, int> Tally(int count, const RoutingRequest& request = LiveRequest()) {
    std::map<std::string, int> tally;
    for (int i = 0; i < count; ++i) {
      const auto placement = router->Place(LiveGroup(), request);
      if (!placement) continue;
      ++tally[placement->choice.engine.value()];
      router->End(placement->id, {.end = PlacementEnd::kCancelled});
    }
    return tally;
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 7};
  ConfigurationBuilder builder;
  std::unique_ptr<EngineRouter> router;
};

TEST_CASE("the less loaded engine is selected, counting requests sent since the report") {
  Fixture f;
  f.builder.Engine("a", "z1").Engine("b", "z1").Gateway("g", "z1");
  f.Configure();
  f.Report("a", ReportWith(10));
  f.Report("b", ReportWith(14));
  std::map<std::string, int> tally;
  for (int i = 0; i < 14; ++i) ++tally[f.Choose()];
  // The first four go to the less loaded engine, the rest alternate. It may get one more for its
  // shorter steps.
  CHECK(tally["a"] >= 9);
  CHECK(tally["a"] <= 10);
}

TEST_CASE("engines that are leaving, drained, mixed or unknown get no requests") {
  Fixture f;
  for (const char* name : {"draining", "drained", "mixed", "swapping", "silent", "well"}) {
    f.builder.Engine(name, "z1");
  }
  f.builder.Gateway("g", "z1").Drain("drained");
  f.Configure();
  for (const char* name : {"draining", "drained", "mixed", "swapping", "well"}) {
    EngineReport report = ReportWith(0);
    if (std::string(name) == "draining") report.draining = true;
    if (std::string(name) == "mixed") report.shards = ShardState::kMixed;
    if (std::string(name) == "swapping") report.shards = ShardState::kSwapping;
    f.Report(name, report);
  }
  CHECK(f.Tally(50) == std::map<std::string, int>{{"well", 50}});

  SECTION("an engine that reports leaving is excluded at once, until a later report") {
    f.router->SetLeaving(EngineName("well"), true);
    CHECK(f.Choose() == "");
    CHECK_FALSE(f.router->MayTakeWork(EngineName("well")));
    f.scheduler.RunFor(seconds(1));
    f.Report("well", ReportWith(0));
    CHECK(f.Choose() == "well");
  }
}

TEST_CASE("the holder of the prompt's prefix is preferred until its load outweighs it") {
  Fixture f;
  for (int i = 0; i < 40; ++i) f.builder.Engine(fmt::format("e{:02}", i), "z1");
  f.builder.Gateway("g", "z1");
  f.Configure();
  for (int i = 0; i < 40; ++i) f.Report(fmt::format("e{:02}", i), ReportWith(4));
  RoutingRequest request = LiveRequest(1024, 10);
  for (BlockHash block = 1; block <= 64; ++block) request.prefix_blocks.push_back(block);
  CacheEvents events;
  events.incarnation = Incarnation(1);
  for (BlockHash block = 1; block <= 64; ++block) events.events.push_back({block, true, block});
  events.newest = 64;
  f.router->ApplyCacheEvents(EngineName("e17"), 0, false, events);

  CHECK(f.Tally(20, request)["e17"] == 20);
  SECTION("but not when it is full") {
    f.scheduler.RunFor(milliseconds(10));
    EngineReport full = ReportWith(32);
    full.waiting_sequences = 40;
    f.Report("e17", full);
    CHECK(f.Tally(20, request)["e17"] == 0);
  }
  SECTION("and not when the events are too old to be trusted") {
    f.scheduler.RunFor(seconds(8));
    for (int i = 0; i < 40; ++i) f.Report(fmt::format("e{:02}", i), ReportWith(4));
    const auto slot = *f.router->SlotOf(EngineName("e17"));
    CHECK(f.router->prefixes().Trust(slot, f.environment.Now()) < 0.6);
    f.Report("e17", ReportWith(4));
    f.router->ApplyCacheEvents(EngineName("e17"), 64, false, events);
    CHECK(f.router->prefixes().Trust(slot, f.environment.Now()) == Approx(1));
  }
}

TEST_CASE("the own zone is preferred; others are used when it has no capacity") {
  Fixture f;
  f.builder.Engine("near", "z1").Engine("far", "z2").Gateway("g", "z1").Gateway("h", "z2");
  f.Configure();
  f.Report("near", ReportWith(20));
  f.Report("far", ReportWith(0));
  CHECK(f.Tally(10) == std::map<std::string, int>{{"near", 10}});
  f.scheduler.RunFor(milliseconds(1));
  EngineReport full = ReportWith(32);
  full.waiting_sequences = 10;
  f.Report("near", full);
  CHECK(f.Tally(10) == std::map<std::string, int>{{"far", 10}});
}

TEST_CASE("an engine with consecutive failures is ejected for a while, unless it is the only one") {
  Fixture f;
  f.builder.Engine("a", "z1").Engine("b", "z1").Gateway("g", "z1");
  f.Configure();
  f.Report("a", ReportWith(0));
  f.Report("b", ReportWith(8));
  for (int i = 0; i < 3; ++i) {
    const auto placement = f.router->Place(LiveGroup(), LiveRequest());
    REQUIRE(placement);
    REQUIRE(placement->choice.engine.value() == "a");
    f.router->End(placement->id, {.end = PlacementEnd::kFailed, .failure = CallFailure::kCut});
  }
  CHECK(f.Choose() == "b");
  RoutingRequest request = LiveRequest();
  request.excluded.insert(EngineName("b"));
  CHECK(f.Choose(request) == "a");
  f.scheduler.RunFor(milliseconds(1500));
  CHECK(f.Choose() == "a");
}

TEST_CASE("a restarted engine starts slowly") {
  Fixture f;
  f.builder.Engine("a", "z1").Engine("b", "z1").Gateway("g", "z1");
  f.Configure();
  f.Report("a", ReportWith(4));
  f.Report("b", ReportWith(8));
  CHECK(f.Choose() == "a");
  f.scheduler.RunFor(milliseconds(100));
  EngineReport restarted = ReportWith(0);
  restarted.incarnation = Incarnation(2);
  f.Report("a", restarted);
  // Being idle, it would get all requests without the slow start.
  const int at_first = f.Tally(300)["a"];
  CHECK(at_first > 30);
  CHECK(at_first < 150);
  f.scheduler.RunFor(seconds(6));
  f.Report("a", restarted);
  f.Report("b", ReportWith(8));
  CHECK(f.Tally(300)["a"] == 300);
}

TEST_CASE("a report older than the last one changes nothing") {
  Fixture f;
  f.builder.Engine("a", "z1").Gateway("g", "z1");
  f.Configure();
  f.scheduler.RunFor(seconds(1));
  f.Report("a", ReportWith(3));
  CHECK_FALSE(f.router->ApplyReport(EngineName("a"), ReportWith(30),
                                    f.environment.Now() - milliseconds(500)));
  CHECK(f.router->FindEngine(EngineName("a"))->load.Sequences() == 3);
}

TEST_CASE("rollouts use only capacity left by live traffic, shared by the gateways") {
  Fixture f;
  f.builder.Engine("a", "z1").Engine("b", "z1").Gateway("g", "z1").Gateway("h", "z1");
  f.Configure();
  CHECK(f.router->RolloutCapacity(RolloutPool()) == 0);
  f.Report("a", ReportWith(10));
  f.Report("b", ReportWith(32));
  // 95 % of 32 sequences, minus the 10 that run; half of the rest for each gateway.
  CHECK(f.router->RolloutCapacity(RolloutPool()) == 10);
  RoutingRequest rollout = LiveRequest();
  rollout.priority = RequestPriority::kRollout;
  CHECK(f.Choose(rollout, RolloutPool()) == "a");
  bool may_give_work = false;
  f.router->SetGate([&may_give_work] { return may_give_work; });
  CHECK(f.router->RolloutCapacity(RolloutPool()) == 0);
  CHECK(f.Choose(rollout, RolloutPool()) == "");
  CHECK(f.Choose() != "");
}

TEST_CASE("round robin alternates, least outstanding selects the least loaded engine") {
  Fixture round_robin(RoutingPolicy::kRoundRobin);
  Fixture least(RoutingPolicy::kLeastOutstanding);
  for (Fixture* f : {&round_robin, &least}) {
    f->builder.Engine("a", "z1").Engine("b", "z2").Engine("c", "z1").Gateway("g", "z1");
    f->Configure();
    f->Report("a", ReportWith(5));
    f->Report("b", ReportWith(1));
    f->Report("c", ReportWith(5));
  }
  CHECK(round_robin.Tally(30) == std::map<std::string, int>{{"a", 10}, {"b", 10}, {"c", 10}});
  for (int i = 0; i < 4; ++i) CHECK(least.Choose() == "b");
}

TEST_CASE("plain back ends are selected by their requests in progress") {
  Fixture f;
  f.builder.Engine("p", "z1", EngineType::kHttp).Engine("q", "z1", EngineType::kHttp);
  f.builder.Gateway("g", "z1");
  f.Configure();
  std::map<std::string, int> tally;
  for (int i = 0; i < 10; ++i) ++tally[f.Choose(LiveRequest(), PagesGroup())];
  CHECK(tally["p"] >= 3);
  CHECK(tally["q"] >= 3);
}

TEST_CASE("observers are two gateways of the engine's zone, or of all if it has none") {
  ConfigurationBuilder builder;
  builder.Engine("a", "z1").Engine("b", "z3");
  for (const char* name : {"g1", "g2", "g3"}) builder.Gateway(name, "z1");
  builder.Gateway("h1", "z2");
  const ObserverAssignment assignment(builder.Build());
  CHECK(assignment.Observers(EngineName("a")).size() == 2);
  for (const NodeId& node : assignment.Observers(EngineName("a"))) CHECK(node != NodeId("h1"));
  CHECK(assignment.HomeZone(EngineName("a")) == Zone("z1"));
  CHECK(assignment.Observers(EngineName("b")).size() == 2);
  CHECK(assignment.HomeZone(EngineName("b")) != Zone("z3"));
}

}  // namespace
}  // namespace millstair
