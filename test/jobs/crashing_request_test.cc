/// Guards against one request that crashes every server of a service, one after another, because
/// callers retry it at other gateways and the gateways do not share which requests crash servers.
#include <algorithm>
#include <catch2/catch.hpp>

#include "common/random.h"
#include "fmt/format.h"
#include "test/jobs/ingress_fleet.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kGateways = 9;
constexpr int kServers = 3;
/// Time after a request's third crash by which all nodes must hold it.
constexpr Duration kPropagationTime = seconds(3);
/// Number of times that a held request may still reach a server.
constexpr size_t kMaxLaterRuns = 3;
constexpr char kCrash[] = "/p/crash";

Route PagesRoute(uint32_t attempts) {
  Route route;
  route.name = "r";
  route.host = "a.example";
  route.path_prefix = "/p/";
  route.timeout = milliseconds(800);
  route.target = milliseconds(150);
  route.attempts = attempts;
  route.services = {{ServiceName("pages"), 1}};
  return route;
}

struct Served {
  size_t sent = 0;
  size_t answered = 0;
};

/// Callers that use any gateway, and retry once at another one if they get no response.
class Callers {
 public:
  explicit Callers(IngressFleet& fleet, int gateways = kGateways)
      : fleet_(fleet), gateways_(gateways) {}

  using Target = std::function<std::string()>;

  /// Sends a request for `target()` about every `pause` during `span`, and counts the outcomes.
  void Repeat(const Target& target, Duration pause, Duration span, Served& served) {
    if (span <= Duration(0)) return;
    ++served.sent;
    Ask(target(), 1, served);
    const Duration next = DrawDuration(fleet_.scheduler.Random(), pause / 2, pause * 3 / 2);
    fleet_.scheduler.Schedule(next, [this, target, pause, left = span - next, &served] {
      Repeat(target, pause, left, served);
    });
  }

  void Repeat(const std::string& target, Duration pause, Duration span, Served& served) {
    Repeat([target] { return target; }, pause, span, served);
  }

  /// Requests one of `pages` pages each time.
  void Browse(int pages, Duration pause, Duration span, Served& served) {
    const Target any = [this, pages] {
      return fmt::format("/p/page{}", DrawBelow(fleet_.scheduler.Random(), pages));
    };
    Repeat(any, pause, span, served);
  }

 private:
  void Ask(const std::string& target, int retries, Served& served) {
    const auto gateway = fmt::format("g{}", 1 + DrawBelow(fleet_.scheduler.Random(), gateways_));
    fleet_.Ask(gateway, target, [this, target, retries, &served](const ForwardResult& result) {
      if (result.outcome == ForwardOutcome::kAnswered) {
        ++served.answered;
      } else if (retries > 0) {
        const Duration pause = std::min<Duration>(result.retry_after, milliseconds(300));
        fleet_.scheduler.Schedule(pause + milliseconds(5), [this, target, retries, &served] {
          Ask(target, retries - 1, served);
        });
      }
    });
  }

  IngressFleet& fleet_;
  const int gateways_;
};

/// Number of runs of `target` later than `kPropagationTime` after its third crash.
size_t SentLater(const CrashingServers& servers, const std::string& target) {
  std::vector<Duration> ended;
  for (const ServerCrash& crash : servers.crashes) {
    if (crash.target == target) ended.push_back(crash.at);
  }
  if (ended.size() < 3) return 0;
  const Duration from = ended[2] + kPropagationTime;
  return static_cast<size_t>(
      std::count_if(servers.runs.begin(), servers.runs.end(),
                    [&](const ServedRun& run) { return run.target == target && run.at > from; }));
}

TEST_CASE("A request that crashes its servers is soon held") {
  const uint64_t seed = GENERATE(range(1, 7));
  const uint32_t attempts = GENERATE(1U, 3U);
  // Of many servers, most live on, so the first trial comes sooner.
  const int servers = GENERATE(3, 8);
  INFO("seed " << seed << " attempts " << attempts << " servers " << servers);
  IngressFleet fleet(seed, kGateways, servers, PagesRoute(attempts));
  Callers callers(fleet);
  Served crashing;
  Served proper;
  callers.Browse(30, milliseconds(60), seconds(60), proper);
  fleet.scheduler.RunFor(seconds(3));
  callers.Repeat(kCrash, milliseconds(500), seconds(50), crashing);
  fleet.scheduler.RunFor(seconds(62));
  CHECK(SentLater(*fleet.servers, kCrash) <= kMaxLaterRuns);
  // A few requests of the 9 gateways may be in flight when the first server crashes.
  CHECK(fleet.servers->crashes.size() <= 6);
  // Proper requests must not lose their servers to the crashing one.
  CHECK(static_cast<double>(proper.answered) >= 0.93 * static_cast<double>(proper.sent));
}

TEST_CASE("Several requests that crash servers are each soon held") {
  const uint64_t seed = GENERATE(range(11, 15));
  INFO("seed " << seed);
  IngressFleet fleet(seed, kGateways, kServers, PagesRoute(2));
  Callers callers(fleet);
  Served crashing;
  for (int i = 0; i < 3; ++i) {
    callers.Repeat(fmt::format("{}{}", kCrash, i), milliseconds(700), seconds(80), crashing);
    fleet.scheduler.RunFor(seconds(10));
  }
  fleet.scheduler.RunFor(seconds(60));
  for (int i = 0; i < 3; ++i) {
    CHECK(SentLater(*fleet.servers, fmt::format("{}{}", kCrash, i)) <= kMaxLaterRuns);
  }
}

/// Guards against trials of several held requests that take down a service or, since they run
/// beside each other, withhold proper requests for long.
TEST_CASE("Several requests that crash servers at the same time end few of them") {
  const uint64_t seed = GENERATE(range(91, 99));
  const int servers = GENERATE(3, 6);
  INFO("seed " << seed << " servers " << servers);
  IngressFleet fleet(seed, kGateways, servers, PagesRoute(3));
  Callers callers(fleet);
  Served crashing;
  Served proper;
  callers.Browse(3, milliseconds(20), seconds(60), proper);
  constexpr size_t kCrashing = 4;
  for (size_t i = 0; i < kCrashing; ++i) {
    callers.Repeat(fmt::format("{}{}", kCrash, i), milliseconds(400), seconds(60), crashing);
  }
  fleet.scheduler.RunFor(seconds(62));
  for (size_t i = 0; i < kCrashing; ++i) {
    CHECK(SentLater(*fleet.servers, fmt::format("{}{}", kCrash, i)) <= kMaxLaterRuns);
  }
  // Each ends two until it is held, and one in its only trial of this minute.
  CHECK(fleet.servers->crashes.size() <= 3 * kCrashing);
  CHECK(static_cast<double>(proper.answered) >= 0.9 * static_cast<double>(proper.sent));
}

TEST_CASE("A gateway that has just started knows which requests crash servers") {
  const uint64_t seed = GENERATE(range(21, 24));
  INFO("seed " << seed);
  IngressFleet fleet(seed, kGateways, kServers, PagesRoute(1));
  Callers callers(fleet);
  Served crashing;
  callers.Repeat(kCrash, milliseconds(300), seconds(60), crashing);
  fleet.scheduler.RunFor(seconds(20));
  for (int i = 1; i <= kGateways; ++i) fleet.Restart(fmt::format("g{}", i));
  fleet.scheduler.RunFor(seconds(40));
  CHECK(SentLater(*fleet.servers, kCrash) <= kMaxLaterRuns);
}

/// A period in which a node was isolated or restarted.
struct Disturbed {
  std::string node;
  Duration started_at{0};
  Duration ended_at{0};
};

/// Whether `gateway` and the control nodes were undisturbed for `kPropagationTime` before `at`.
bool WasUndisturbed(const std::vector<Disturbed>& disturbed, const std::string& gateway,
                    Duration at) {
  return std::none_of(disturbed.begin(), disturbed.end(), [&](const Disturbed& span) {
    const bool counts = span.node == gateway || span.node[0] == 'c';
    return counts && span.started_at <= at && span.ended_at + kPropagationTime >= at;
  });
}

TEST_CASE(
    "Connected gateways hold a crashing request while other nodes are isolated and restarted") {
  const uint64_t seed = GENERATE(range(51, 63));
  const int gateways = GENERATE(9, 40);
  INFO("seed " << seed << " gateways " << gateways);
  IngressFleet fleet(seed, gateways, kServers, PagesRoute(2));
  Callers callers(fleet, gateways);
  Served crashing;
  std::vector<Disturbed> disturbed;
  callers.Repeat(kCrash, milliseconds(250), seconds(90), crashing);
  auto& random = fleet.scheduler.Random();
  for (Duration elapsed(0); elapsed < seconds(85);) {
    const Duration span = DrawDuration(random, milliseconds(500), milliseconds(5000));
    const bool control = DrawChance(random, 0.2);
    const auto node = control ? fmt::format("c{}", 1 + DrawBelow(random, 3))
                              : fmt::format("g{}", 1 + DrawBelow(random, gateways));
    const Duration started_at = fleet.scheduler.Now();
    if (!control && DrawChance(random, 0.4)) fleet.Restart(node);
    fleet.Isolate(node);
    fleet.scheduler.RunFor(span);
    fleet.Heal(node);
    disturbed.push_back({node, started_at, fleet.scheduler.Now()});
    const Duration rest = DrawDuration(random, milliseconds(500), milliseconds(5000));
    fleet.scheduler.RunFor(rest);
    elapsed += span + rest;
  }
  fleet.scheduler.RunFor(seconds(10));
  std::vector<Duration> ended;
  for (const ServerCrash& crash : fleet.servers->crashes) ended.push_back(crash.at);
  REQUIRE(ended.size() >= 3);
  size_t later = 0;
  for (const ServedRun& run : fleet.servers->runs) {
    if (run.at <= ended[2] + kPropagationTime) continue;
    later += WasUndisturbed(disturbed, fleet.GatewayOf(run.id), run.at) ? 1 : 0;
  }
  CHECK(later <= kMaxLaterRuns);
}

TEST_CASE("Requests that ran at every crash of an outage are served after it") {
  const uint64_t seed = GENERATE(range(41, 45));
  INFO("seed " << seed);
  IngressFleet fleet(seed, kGateways, kServers, PagesRoute(2));
  Callers callers(fleet);
  Served during;
  // The request was never served before the outage.
  callers.Repeat("/p/score", milliseconds(2), seconds(4), during);
  for (const std::string& address : fleet.servers->addresses()) {
    fleet.scheduler.RunFor(milliseconds(15));
    fleet.servers->Crash(address, "outage");
  }
  fleet.scheduler.RunFor(seconds(10));
  Served after;
  callers.Repeat("/p/score", milliseconds(20), seconds(10), after);
  fleet.scheduler.RunFor(seconds(12));
  CHECK(static_cast<double>(after.answered) >= 0.99 * static_cast<double>(after.sent));
}

/// Guards against proper requests that are withheld because two servers ended under other requests
/// while they ran there, although other servers live.
TEST_CASE("A proper request that two servers lost is soon served by one of the others") {
  const uint64_t seed = GENERATE(range(71, 77));
  INFO("seed " << seed);
  IngressFleet fleet(seed, kGateways, 6, PagesRoute(3));
  Callers callers(fleet);
  fleet.Ask("g1", "/p/new", [](const ForwardResult&) {});
  for (size_t run = 0; run < 2; ++run) {
    REQUIRE(
        fleet.scheduler.RunUntilTrue([&] { return fleet.servers->runs.size() > run; }, seconds(1)));
    const std::string& instance = fleet.servers->runs[run].instance.value();
    fleet.servers->Crash(instance.substr(0, instance.find('#')), "another request");
  }
  // By then all gateways hold the request.
  fleet.scheduler.RunFor(milliseconds(300));
  Served served;
  callers.Repeat("/p/new", milliseconds(50), seconds(8), served);
  fleet.scheduler.RunFor(seconds(10));
  CHECK(served.answered == served.sent);
}

TEST_CASE("Other pages are still served while servers crash one after another") {
  const uint64_t seed = GENERATE(range(31, 35));
  INFO("seed " << seed);
  IngressFleet fleet(seed, kGateways, kServers, PagesRoute(3));
  Callers callers(fleet);
  Served proper;
  callers.Browse(3, milliseconds(10), seconds(60), proper);
  for (int i = 0; i < 50; ++i) {
    const auto addresses = fleet.servers->addresses();
    const size_t drawn = DrawBelow(fleet.scheduler.Random(), addresses.size());
    fleet.servers->Crash(addresses[drawn], "nothing");
    fleet.scheduler.RunFor(milliseconds(1200));
  }
  fleet.scheduler.RunFor(seconds(2));
  CHECK(static_cast<double>(proper.answered) >= 0.995 * static_cast<double>(proper.sent));
}

}  // namespace
}  // namespace millstair
