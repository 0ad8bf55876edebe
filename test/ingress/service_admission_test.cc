#include "ingress/service_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One gateway and one service, "pages".
class Fixture {
 public:
  Fixture() { Add("a:1"); }

  void Add(const std::string& address) {
    configuration.instances[InstanceId(address)] = LiveInstance(address, "pages");
    directory.Update(configuration);
  }
  void Remove(const std::string& address) {
    configuration.instances.erase(InstanceId(address));
    directory.Update(configuration);
  }
  /// Limits the back end to about `per_second` sends.
  void Limit(const std::string& address, int per_second) {
    SendRateLimit& limit = control.limits().Of(InstanceId(address));
    control.limits().RecordRefused(InstanceId(address));
    for (int i = 0; i < per_second; ++i) limit.RecordInTime(environment.Now());
  }
  SendDemand Demand(Duration left, bool first_attempt = true) const {
    SendDemand demand;
    demand.deadline = environment.Now() + left;
    demand.target_at = environment.Now() + milliseconds(150);
    demand.first_attempt = first_attempt;
    return demand;
  }
  /// Asks for a send; the outcome appears in `log`.
  void Ask(const std::string& name, const SendDemand& demand) {
    service().RecordArrival();
    auto decision = service().Request(
        demand, {},
        [this, name](std::variant<SendPermit, SendRejection> outcome) { Log(name, outcome); });
    if (auto* queued = std::get_if<std::unique_ptr<ServiceAdmission::Queued>>(&decision)) {
      waiting[name] = std::move(*queued);
    } else if (auto* permit = std::get_if<SendPermit>(&decision)) {
      permit->Use();
      log.push_back(name + " sent");
    } else if (auto* rejection = std::get_if<SendRejection>(&decision)) {
      rejections.push_back(*rejection);
      log.push_back(name + " rejected");
    } else {
      log.push_back(name + " none");
    }
  }
  ServiceAdmission& service() { return control.Of(ServiceName("pages")); }

  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  BackendDirectory directory{environment, Zone("z1")};
  StatsRegistry stats;
  AdmissionControl control{environment, directory, &stats};
  Configuration configuration;
  std::map<std::string, std::unique_ptr<ServiceAdmission::Queued>> waiting;
  std::vector<std::string> log;
  std::vector<SendRejection> rejections;

 private:
  void Log(const std::string& name, std::variant<SendPermit, SendRejection>& outcome) {
    if (auto* permit = std::get_if<SendPermit>(&outcome)) {
      permit->Use();
      log.push_back(name + " sent");
      return;
    }
    rejections.push_back(std::get<SendRejection>(outcome));
    log.push_back(name + " rejected");
  }
};

using Log = std::vector<std::string>;

// Guards against retries that are lost because they wait behind first attempts.
TEST_CASE("A caller's retry is sent before first attempts that arrived earlier") {
  Fixture f;
  f.Limit("a:1", 40);
  f.Ask("first", f.Demand(milliseconds(800)));
  f.Ask("retry", f.Demand(milliseconds(400), false));
  REQUIRE(f.waiting.size() == 2);
  f.scheduler.RunFor(milliseconds(140));
  CHECK(f.log == Log{"retry sent", "first sent"});
}

// Guards against requests that wait although they are lost.
TEST_CASE("A request that can't be in time is rejected at once") {
  Fixture f;
  f.Limit("a:1", 4);
  f.service().RecordResponse(milliseconds(100));
  f.Ask("late", f.Demand(milliseconds(90)));
  CHECK(f.log == Log{"late rejected"});
  CHECK(f.rejections[0].reason == RejectionReason::kCannotBeInTime);
}

// Guards against a standing queue, which makes all requests miss the target.
TEST_CASE("A first attempt that would miss the target behind a long queue is rejected at once") {
  Fixture f;
  f.Limit("a:1", 20);
  f.service().RecordResponse(milliseconds(50));
  for (int i = 0; i < 12; ++i) f.Ask(std::to_string(i), f.Demand(milliseconds(800)));
  REQUIRE_FALSE(f.rejections.empty());
  CHECK(f.rejections[0].reason == RejectionReason::kStandingQueue);
  // A queue of 150 ms at 25 sends per second has about 4 requests.
  CHECK(f.service().queued() >= 2);
  CHECK(f.service().queued() <= 5);
  // A retry has missed the target already; it may wait until its deadline.
  f.Ask("retry", f.Demand(milliseconds(700), false));
  CHECK(f.waiting.contains("retry"));
}

// Guards against a first attempt that waits for its target, and after it stays before others that
// can still meet theirs.
TEST_CASE("A queued request that can't meet its target any more is sent after those that can") {
  Fixture f;
  f.Limit("a:1", 20);
  SendDemand becomes_late = f.Demand(milliseconds(400), false);
  becomes_late.target_at = f.environment.Now() + milliseconds(30);
  f.Ask("becomes late", becomes_late);
  f.scheduler.RunFor(milliseconds(35));
  f.Ask("in time", f.Demand(milliseconds(800)));
  REQUIRE(f.service().queued() == 2);
  f.scheduler.RunFor(milliseconds(300));
  CHECK(f.log == Log{"in time sent", "becomes late sent"});
}

// Guards against late requests that use up the sends that first attempts are about to need.
TEST_CASE("A late request leaves sends to first attempts until they would be lost") {
  Fixture f;
  f.Limit("a:1", 10);
  f.service().RecordResponse(milliseconds(50));
  // Requests in time ask for more than their share of the limit.
  for (int i = 0; i < 20; ++i) f.Ask("first", f.Demand(milliseconds(800)));
  f.waiting.clear();
  f.log.clear();
  SendDemand late = f.Demand(milliseconds(3000), false);
  late.target_at = f.environment.Now() - milliseconds(1);
  f.Ask("late", late);
  // A send accrues in about 80 ms.
  f.scheduler.RunFor(milliseconds(110));
  CHECK(f.log.empty());
  f.Ask("in time", f.Demand(milliseconds(800)));
  CHECK(f.log == Log{"in time sent"});
  f.scheduler.RunFor(milliseconds(1500));
  CHECK(f.log == Log{"in time sent", "late sent"});
}

// Guards against late requests that are held although requests in time use up the sends before
// their deadline.
TEST_CASE("A late request that a steady load in time leaves no send is rejected on arrival") {
  Fixture f;
  f.Limit("a:1", 18);
  // 25 requests in time a second, at a limit of 18 * 1.25 = 22; a quarter of it is 5.6.
  for (int i = 0; i < 100; ++i) {
    f.scheduler.RunFor(milliseconds(40));
    f.control.limits().RecordRefused(InstanceId("a:1"));
    if (i % 18 < 13) f.control.limits().RecordInTime(InstanceId("a:1"));
    f.Ask("first", f.Demand(milliseconds(800)));
  }
  f.log.clear();
  SendDemand late = f.Demand(milliseconds(150), false);
  late.target_at = f.environment.Now() - milliseconds(1);
  f.Ask("late", late);
  CHECK(f.log == Log{"late rejected"});
  late.deadline = f.environment.Now() + milliseconds(600);
  f.Ask("late with more time", late);
  CHECK(f.waiting.contains("late with more time"));
}

// Guards against streams that lose their place because their target passed after they had begun.
TEST_CASE("A stream that has begun is not late") {
  Fixture f;
  SendDemand begun = f.Demand(milliseconds(3000));
  begun.target_at = f.environment.Now() - milliseconds(1);
  CHECK(f.service().ClassOf(begun) == TargetClass::kLate);
  begun.begun = true;
  CHECK(f.service().ClassOf(begun) == TargetClass::kInTime);
}

// Guards against a Retry-After that ignores that requests of the other class are sent meanwhile.
TEST_CASE("Retry-After follows the drain rate of the request's class") {
  const auto wait = [](TargetClass rejected, bool other_waits) {
    Duration sum{0};
    for (int i = 0; i < 50; ++i) {
      Fixture f;
      for (int j = 0; j <= i; ++j) DrawUnit(f.environment.Random());
      f.Limit("a:1", 20);
      SendDemand demand = f.Demand(milliseconds(800), false);
      if (rejected == TargetClass::kInTime) demand.target_at = f.environment.Now();
      f.service().RecordResponse(milliseconds(10));
      if (other_waits) f.Ask("other", demand);
      sum += f.service()
                 .Reject(RejectionReason::kRetryBudget, f.environment.Now() + seconds(3), rejected)
                 .retry_after;
    }
    return ToSeconds(sum / 50);
  };
  // One request at 25 sends per second, times 1.25 on average.
  CHECK(wait(TargetClass::kInTime, false) == Approx(0.05).margin(0.005));
  CHECK(wait(TargetClass::kInTime, true) == Approx(0.05 / 0.75).margin(0.007));
  CHECK(wait(TargetClass::kLate, true) == Approx(0.05 / 0.25).margin(0.02));
}

// Guards against queued requests that hold a place after they can no longer be in time.
TEST_CASE("A queued request is rejected as soon as it can't be in time") {
  Fixture f;
  f.Limit("a:1", 20);
  f.Ask("queued", f.Demand(milliseconds(300), false));
  REQUIRE(f.waiting.contains("queued"));
  // Responses become so slow that the request would be late even if it were sent now.
  f.service().RecordResponse(milliseconds(400));
  f.scheduler.RunFor(milliseconds(25));
  CHECK(f.log == Log{"queued rejected"});
  CHECK(f.service().queued() == 0);
}

// Guards against rejected callers that come back when their target has passed, although another
// gateway had a send for them at once.
TEST_CASE("A caller that is rejected early is told to retry while it can still meet its target") {
  Fixture f;
  f.Limit("a:1", 4);
  f.service().RecordResponse(milliseconds(50));
  std::set<Duration> different;
  for (int i = 0; i < 20; ++i) {
    f.rejections.clear();
    f.Ask("first", f.Demand(milliseconds(800)));
    REQUIRE(f.rejections.size() == 1);
    CHECK(f.rejections[0].retry_after >= milliseconds(20));
    // The target is 150 ms and a response takes 50 ms.
    CHECK(f.rejections[0].retry_after <= milliseconds(50));
    different.insert(f.rejections[0].retry_after);
  }
  CHECK(different.size() > 10);
}

// Guards against requests of small tenants that are rejected where a gateway has a few sends a
// second: their target passes before the next one.
TEST_CASE("A tenant that asks for less than the mean takes sends in advance") {
  Fixture f;
  f.Limit("a:1", 10);
  const auto ask = [&f](const std::string& tenant) {
    SendDemand demand = f.Demand(milliseconds(800));
    demand.tenant = TenantName(tenant);
    f.Ask(tenant, demand);
  };
  for (int i = 0; i < 20; ++i) ask("large");
  f.log.clear();
  ask("small");
  CHECK(f.log == Log{"small sent"});
  ask("large");
  CHECK(f.log.back() != "large sent");
  // The sends in advance are bounded.
  for (int i = 0; i < 5; ++i) ask("small" + std::to_string(i));
  CHECK(std::count_if(f.log.begin(), f.log.end(), [](const std::string& line) {
          return line.find("sent") != std::string::npos;
        }) == 3);
}

// Guards against a small tenant whose requests pass more urgent ones that wait.
TEST_CASE("No send is taken in advance while a more urgent request waits") {
  Fixture f;
  f.Limit("a:1", 20);
  SendDemand urgent = f.Demand(milliseconds(800));
  urgent.tenant = TenantName("large");
  for (int i = 0; i < 3; ++i) f.Ask("urgent" + std::to_string(i), urgent);
  REQUIRE(f.service().queued() > 0);
  f.log.clear();
  SendDemand small = f.Demand(milliseconds(800));
  small.tenant = TenantName("small");
  small.priority = 1;
  f.Ask("small", small);
  CHECK(f.log != Log{"small sent"});
}

// Guards against Retry-After values that ignore the backlog or return all callers at once.
TEST_CASE("Retry-After follows the drain rate, within its bounds") {
  Duration slow_sum{0};
  Duration fast_sum{0};
  std::set<Duration> different;
  for (int i = 0; i < 50; ++i) {
    Fixture slow;
    slow.Limit("a:1", 5);
    Fixture fast;
    fast.Limit("a:1", 20);
    for (int j = 0; j <= i; ++j) DrawUnit(fast.environment.Random());
    const auto deadline = [](Fixture& f) { return f.environment.Now() + milliseconds(3000); };
    const auto by = RejectionReason::kRetryBudget;
    slow_sum += slow.service().Reject(by, deadline(slow)).retry_after;
    const Duration after = fast.service().Reject(by, deadline(fast)).retry_after;
    fast_sum += after;
    different.insert(after);
    // One request at 25 sends per second, times 1 to 1.5.
    CHECK(after >= milliseconds(39));
    CHECK(after <= milliseconds(61));
  }
  CHECK(slow_sum > 3 * fast_sum);
  CHECK(different.size() >= 40);
  Fixture f;
  f.Limit("a:1", 1000);
  const auto now = f.environment.Now();
  CHECK(f.service().Reject(RejectionReason::kQueueFull, now + seconds(1)).retry_after ==
        milliseconds(20));
  Fixture stuck;
  stuck.Limit("a:1", 0);
  CHECK(stuck.service().Reject(RejectionReason::kQueueFull, now + milliseconds(900)).retry_after ==
        milliseconds(300));
}

// Guards against sends for callers that have left.
TEST_CASE("A request whose caller leaves is removed from the queue and not sent") {
  Fixture f;
  f.Limit("a:1", 20);
  f.Ask("left", f.Demand(milliseconds(800)));
  REQUIRE(f.service().queued() == 1);
  f.waiting.clear();
  CHECK(f.service().queued() == 0);
  f.scheduler.RunFor(seconds(1));
  CHECK(f.log.empty());
}

// Guards against requests that wait for a back end that has gone.
TEST_CASE("A service that loses its last back end rejects its queue") {
  Fixture f;
  f.Limit("a:1", 20);
  f.Ask("queued", f.Demand(milliseconds(800)));
  f.Remove("a:1");
  f.scheduler.RunFor(milliseconds(25));
  CHECK(f.log == Log{"queued rejected"});
  CHECK(f.rejections[0].reason == RejectionReason::kNoBackend);
}

// Guards against limits that outlive the back end they were learned from.
TEST_CASE("A new incarnation has no limit, and takes what waits") {
  Fixture f;
  f.Limit("a:1", 20);
  f.Ask("one", f.Demand(milliseconds(800)));
  f.Ask("two", f.Demand(milliseconds(800), false));
  REQUIRE(f.log.empty());
  f.Remove("a:1");
  f.Add("a:2");
  f.scheduler.RunFor(milliseconds(25));
  CHECK(f.log == Log{"one sent", "two sent"});
  CHECK_FALSE(f.control.limits().Limited(InstanceId("a:2")));
}

// Guards against limits that never end at a gateway with steady demand: random arrivals meet an
// empty limit again and again although another back end takes them.
TEST_CASE("A limit ends unless requests wait for it") {
  const auto limited_after = [](Fixture& f, Duration span) {
    f.Limit("a:1", 5);
    const TimePoint end = f.environment.Now() + span;
    for (int i = 0; f.environment.Now() < end; ++i) {
      f.Ask(std::to_string(i), f.Demand(milliseconds(800)));
      f.scheduler.RunFor(milliseconds(20));
    }
    return f.control.limits().Limited(InstanceId("a:1"));
  };
  Fixture with_another;
  with_another.Add("b:1");
  // The limited one is preferred.
  const InstanceId slower("b:1");
  with_another.directory.Begin(slower);
  with_another.directory.End(slower, BackendEnd::kAnswered, seconds(1));
  CHECK_FALSE(limited_after(with_another, seconds(2)));
  Fixture alone;
  CHECK(limited_after(alone, seconds(2)));
}

// Guards against hedges that add load to back ends that are overloaded.
TEST_CASE("There is no hedge while a back end is limited, or when the budget is used up") {
  Fixture f;
  f.Add("b:1");
  for (int i = 0; i < 10; ++i) CHECK(f.service().RequestHedge({InstanceId("a:1")}));
  CHECK_FALSE(f.service().RequestHedge({InstanceId("a:1")}));
  Fixture limited;
  limited.Add("b:1");
  limited.Limit("a:1", 5);
  CHECK_FALSE(limited.service().RequestHedge({InstanceId("a:1")}));
  limited.scheduler.RunFor(milliseconds(1200));
  CHECK(limited.service().RequestHedge({InstanceId("a:1")}));
}

// Guards against a back end that loses a share of its rate to requests that were not sent.
TEST_CASE("A permit that is not used returns its send to the limit") {
  Fixture f;
  f.Limit("a:1", 20);
  f.scheduler.RunFor(milliseconds(200));
  const auto permitted = [&f] {
    auto decision = f.service().Request(f.Demand(milliseconds(800)), {}, [](auto) {});
    return std::holds_alternative<SendPermit>(decision);
  };
  for (int i = 0; i < 5; ++i) CHECK(permitted());
}

}  // namespace
}  // namespace millstair
