/// What users saw: all three servers of a service ended within 0.1 to 0.8 s, were back after 3 s
/// and ended again within 0.2 s, for 18 s and three times in 80 s. Up to 24 servers ended under one
/// request. Between, each proper page was refused after 0.3 s.
///
/// Order of events, from the gateways' logs of one recorded day: a request ends the server that
/// runs it (its connections end, then nobody listens at the address). Its caller gets 502 and asks
/// again at another gateway, which sends it to the next server. It comes again for the rest of the
/// day, at any gateway; one that waits there for a server reaches it 20 ms after its start.
///
/// Cause: no part of the request path remembers a request beyond one try at one gateway. Evidence:
/// all 28 requests that a gateway lost on that day ran at a server that ended at this moment, each
/// of them at one server only, at all nine gateways; their other tries were refused connections.
/// The users' record counts one content under 24 ended servers. Here, where one content alone ends
/// servers and nothing else is wrong, all three are down for most of a minute in the same way.
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
/// From a request's third crash on, so much later all nodes have to know of it.
constexpr Duration kKnownWithin = seconds(3);
/// And so often it may still be sent to a server.
constexpr size_t kAllowedLater = 3;
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

/// How proper requests fared.
struct Served {
  size_t asked = 0;
  size_t answered = 0;
};

/// Callers that ask at any gateway, and once more at another one when they get no answer.
class Callers {
 public:
  explicit Callers(IngressFleet& fleet, int gateways = kGateways)
      : fleet_(fleet), gateways_(gateways) {}

  using Target = std::function<std::string()>;

  /// Asks each `pause` or so for `span`, each time for what `target` says, and notes how it went.
  void Repeat(const Target& target, Duration pause, Duration span, Served& served) {
    if (span <= Duration(0)) return;
    ++served.asked;
    Ask(target(), 1, served);
    const Duration next = DrawDuration(fleet_.scheduler.Random(), pause / 2, pause * 3 / 2);
    fleet_.scheduler.Schedule(next, [this, target, pause, left = span - next, &served] {
      Repeat(target, pause, left, served);
    });
  }

  void Repeat(const std::string& target, Duration pause, Duration span, Served& served) {
    Repeat([target] { return target; }, pause, span, served);
  }

  /// Asks for one of `pages` pages each time.
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

/// How often `target` was sent to a server later than `kKnownWithin` after its third crash.
size_t SentLater(const CrashingServers& servers, const std::string& target) {
  std::vector<Duration> ended;
  for (const ServerCrash& crash : servers.crashes) {
    if (crash.target == target) ended.push_back(crash.at);
  }
  if (ended.size() < 3) return 0;
  const Duration from = ended[2] + kKnownWithin;
  return static_cast<size_t>(
      std::count_if(servers.runs.begin(), servers.runs.end(),
                    [&](const ServedRun& run) { return run.target == target && run.at > from; }));
}

TEST_CASE("A request that crashes its servers is soon sent to none any more") {
  const uint64_t seed = GENERATE(range(1, 7));
  const uint32_t attempts = GENERATE(1U, 3U);
  INFO("seed " << seed << " attempts " << attempts);
  IngressFleet fleet(seed, kGateways, kServers, PagesRoute(attempts));
  Callers callers(fleet);
  Served crashing;
  Served proper;
  callers.Browse(30, milliseconds(60), seconds(60), proper);
  fleet.scheduler.RunFor(seconds(3));
  callers.Repeat(kCrash, milliseconds(500), seconds(50), crashing);
  fleet.scheduler.RunFor(seconds(62));
  CHECK(SentLater(*fleet.servers, kCrash) <= kAllowedLater);
  // At 9 gateways that ask all the time, a few may be on their way when the first one crashes.
  CHECK(fleet.servers->crashes.size() <= 6);
  // The share that was served while requests were not remembered: 0.42 to 0.61.
  CHECK(static_cast<double>(proper.answered) >= 0.93 * static_cast<double>(proper.asked));
}

TEST_CASE("Several requests that crash servers are each soon sent to none any more") {
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
    CHECK(SentLater(*fleet.servers, fmt::format("{}{}", kCrash, i)) <= kAllowedLater);
  }
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
  CHECK(SentLater(*fleet.servers, kCrash) <= kAllowedLater);
}

/// A time in which a node, or all, counted as disturbed.
struct Disturbed {
  std::string node;
  Duration begun{0};
  Duration over{0};
};

/// Whether `gateway` and the control nodes were undisturbed for `kKnownWithin` before `at`.
bool InTouch(const std::vector<Disturbed>& disturbed, const std::string& gateway, Duration at) {
  return std::none_of(disturbed.begin(), disturbed.end(), [&](const Disturbed& span) {
    const bool counts = span.node == gateway || span.node[0] == 'c';
    return counts && span.begun <= at && span.over + kKnownWithin >= at;
  });
}

TEST_CASE("Gateways in touch hold a crashing request also while nodes are cut off and restarted") {
  const uint64_t seed = GENERATE(range(51, 63));
  const int gateways = GENERATE(9, 40);
  INFO("seed " << seed << " gateways " << gateways);
  IngressFleet fleet(seed, gateways, kServers, PagesRoute(2));
  Callers callers(fleet, gateways);
  Served crashing;
  std::vector<Disturbed> disturbed;
  callers.Repeat(kCrash, milliseconds(250), seconds(90), crashing);
  auto& random = fleet.scheduler.Random();
  for (Duration passed(0); passed < seconds(85);) {
    const Duration span = DrawDuration(random, milliseconds(500), milliseconds(5000));
    const bool control = DrawChance(random, 0.2);
    const auto node = control ? fmt::format("c{}", 1 + DrawBelow(random, 3))
                              : fmt::format("g{}", 1 + DrawBelow(random, gateways));
    const Duration begun = fleet.scheduler.Now();
    if (!control && DrawChance(random, 0.4)) fleet.Restart(node);
    fleet.Isolate(node);
    fleet.scheduler.RunFor(span);
    fleet.Heal(node);
    disturbed.push_back({node, begun, fleet.scheduler.Now()});
    const Duration rest = DrawDuration(random, milliseconds(500), milliseconds(5000));
    fleet.scheduler.RunFor(rest);
    passed += span + rest;
  }
  fleet.scheduler.RunFor(seconds(10));
  std::vector<Duration> ended;
  for (const ServerCrash& crash : fleet.servers->crashes) ended.push_back(crash.at);
  REQUIRE(ended.size() >= 3);
  size_t later = 0;
  for (const ServedRun& run : fleet.servers->runs) {
    if (run.at <= ended[2] + kKnownWithin) continue;
    later += InTouch(disturbed, fleet.GatewayOf(run.id), run.at) ? 1 : 0;
  }
  CHECK(later <= kAllowedLater);
}

TEST_CASE("Calls of one content that meet every crash of an outage are served after it") {
  const uint64_t seed = GENERATE(range(41, 45));
  INFO("seed " << seed);
  IngressFleet fleet(seed, kGateways, kServers, PagesRoute(2));
  Callers callers(fleet);
  Served during;
  // Nobody has seen it served: it comes with the outage.
  callers.Repeat("/p/score", milliseconds(2), seconds(4), during);
  for (const std::string& address : fleet.servers->addresses()) {
    fleet.scheduler.RunFor(milliseconds(15));
    fleet.servers->Crash(address, "outage");
  }
  fleet.scheduler.RunFor(seconds(10));
  Served after;
  callers.Repeat("/p/score", milliseconds(20), seconds(10), after);
  fleet.scheduler.RunFor(seconds(12));
  CHECK(static_cast<double>(after.answered) >= 0.99 * static_cast<double>(after.asked));
}

TEST_CASE("Proper pages are served on while servers crash one after another") {
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
  CHECK(static_cast<double>(proper.answered) >= 0.995 * static_cast<double>(proper.asked));
}

}  // namespace
}  // namespace millstair
