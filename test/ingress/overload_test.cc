/// Many gateways send a burst of requests to few back ends, in virtual time: the decisions of
/// admission at the gateways, against models of the back ends and of the callers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "ingress/ingress_service.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/fixed_table.h"
#include "test/ingress/pages_setup.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = kPagesTarget;
constexpr Duration kTimeout = kPagesTimeout;
/// One way between a gateway and a back end, and between a caller and a gateway.
constexpr Duration kNetworkMin = milliseconds(1);
constexpr Duration kNetworkMax = milliseconds(4);

/// A back end with slots and a bounded queue. It refuses requests when the queue is full, and those
/// whose deadline has passed when their turn comes.
class ModelBackend {
 public:
  struct Options {
    size_t slots = 6;
    size_t queue = 24;
    Duration work = milliseconds(21);
    /// Share of the requests that take `kTailFactor` times as long.
    double tail_share = 0;
  };
  static constexpr int kTailFactor = 5;
  using Respond = std::function<void(bool ran)>;

  ModelBackend(VirtualScheduler& scheduler, Options options)
      : scheduler_(scheduler), options_(options) {}

  void SetWork(Duration work) { options_.work = work; }
  /// Refuses everything from now on.
  void Close() { options_.slots = options_.queue = 0; }
  void Receive(Duration deadline, Respond respond) {
    ++received;
    if (running_ >= options_.slots && waiting_.size() >= options_.queue) return Refuse(respond);
    waiting_.push_back({deadline, std::move(respond)});
    StartNext();
  }

  size_t received = 0;
  size_t refused = 0;
  size_t completed = 0;

 private:
  struct Waiting {
    Duration deadline;
    Respond respond;
  };

  void Refuse(const Respond& respond) {
    ++refused;
    respond(false);
  }

  void StartNext() {
    while (running_ < options_.slots && !waiting_.empty()) {
      Waiting next = std::move(waiting_.front());
      waiting_.pop_front();
      if (scheduler_.Now() >= next.deadline) {
        Refuse(next.respond);
        continue;
      }
      ++running_;
      // Between 0.8 and 1.2 times the usual work.
      Duration work =
          DrawDuration(scheduler_.Random(), options_.work * 4 / 5, options_.work * 6 / 5);
      if (options_.tail_share > 0 && DrawUnit(scheduler_.Random()) < options_.tail_share) {
        work *= kTailFactor;
      }
      scheduler_.Schedule(work, [this, respond = std::move(next.respond)] {
        --running_;
        ++completed;
        respond(true);
        StartNext();
      });
    }
  }

  VirtualScheduler& scheduler_;
  Options options_;
  size_t running_ = 0;
  std::deque<Waiting> waiting_;
};

/// Carries the calls of all gateways to the back ends. A back end does not notice that a call was
/// cancelled.
class ModelNetwork : public HttpCaller {
 public:
  explicit ModelNetwork(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  ModelBackend& Add(const std::string& address, ModelBackend::Options options = {}) {
    return *backends_.emplace(address, std::make_unique<ModelBackend>(scheduler_, options))
                .first->second;
  }
  ModelBackend& At(const std::string& address) { return *backends_.at(address); }

  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override {
    ++sends;
    const Duration left(std::stoll(std::string(*FindHeader(request.headers, "left"))));
    const Duration deadline = scheduler_.Now() + left;
    const auto live = std::make_shared<HttpCallObserver*>(&observer);
    scheduler_.Schedule(Delay(), [this, address, deadline, live] {
      At(address).Receive(deadline, [this, live](bool ran) { Respond(live, ran); });
    });
    return std::make_unique<Handle>(live);
  }

  Duration Delay() { return DrawDuration(scheduler_.Random(), kNetworkMin, kNetworkMax); }

  size_t sends = 0;

 private:
  using Live = std::shared_ptr<HttpCallObserver*>;
  class Handle : public CallHandle {
   public:
    explicit Handle(Live live) : live_(std::move(live)) {}
    ~Handle() override { *live_ = nullptr; }

   private:
    Live live_;
  };

  void Respond(const Live& live, bool ran) {
    scheduler_.Schedule(Delay(), [live, ran] {
      HttpCallObserver* observer = *live;
      if (observer == nullptr) return;
      HttpResponseHead head{ran ? 200 : 503, {}};
      if (!ran) head.headers.push_back({"refused", "1"});
      observer->OnHead(head);
      if (*live == nullptr) return;
      *live = nullptr;
      observer->OnFinished();
    });
  }

  VirtualScheduler& scheduler_;
  std::map<std::string, std::unique_ptr<ModelBackend>> backends_;
};

/// What the callers of one tenant saw.
struct Seen {
  size_t requests = 0;
  /// Answered within the target, counted from the call that was answered.
  size_t in_time = 0;
  /// The same counted from the caller's first call.
  size_t in_time_at_first = 0;
  size_t answered = 0;
  size_t rejected = 0;
  size_t retried = 0;
  /// Retries that were rejected too.
  size_t rejected_again = 0;
};

/// Gateways, back ends and callers.
class Fleet {
 public:
  Fleet(size_t gateways, size_t backends, bool admission, uint64_t seed = 7,
        ModelBackend::Options options = {})
      : scheduler(seed), network(scheduler) {
    Route route = PagesRoute();
    route.priority = 1;
    Route urgent = route;
    urgent.name = "urgent";
    urgent.path_prefix = "/u/";
    urgent.priority = 0;
    reader.table.version = 1;
    reader.table.routes = {route, urgent};
    for (size_t i = 0; i < backends; ++i) {
      const std::string address = "b:" + std::to_string(i);
      BackendInstance instance = LiveInstance(address, "pages");
      instance.slots = 6;
      configuration.instances[instance.id] = instance;
      network.Add(address, options);
    }
    for (size_t i = 0; i < gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(*this, seed * 1000 + i));
      if (admission) gateways_.back()->ingress.EnableAdmission();
      gateways_.back()->ingress.Update(configuration);
    }
  }
  ~Fleet() { scheduler.Clear(); }

  ModelBackend& Backend(size_t i) { return network.At("b:" + std::to_string(i)); }

  /// Sends `per_second` requests of `tenant` at random times for `span`.
  void Demand(double per_second, Duration span, const std::string& tenant = "",
              const std::string& path = "/p/x") {
    const Duration end = scheduler.Now() + span;
    ScheduleNext(per_second, end, tenant, path);
  }

  Seen Sum() const {
    Seen sum;
    for (const auto& [tenant, one] : seen) {
      sum.requests += one.requests;
      sum.in_time += one.in_time;
      sum.in_time_at_first += one.in_time_at_first;
      sum.answered += one.answered;
      sum.rejected += one.rejected;
      sum.retried += one.retried;
      sum.rejected_again += one.rejected_again;
    }
    return sum;
  }
  size_t Completed() const { return Total(&ModelBackend::completed); }
  size_t Refused() const { return Total(&ModelBackend::refused); }
  double Stat(const std::string& name) const {
    double sum = 0;
    for (const auto& gateway : gateways_) {
      for (const StatSample& sample : gateway->stats.Read()) {
        if (sample.name.name == name) sum += sample.value;
      }
    }
    return sum;
  }

  struct Gateway {
    Gateway(Fleet& fleet, uint64_t seed)
        : environment(fleet.scheduler, seed),
          ingress(environment, fleet.network, fleet.protocol, fleet.reader, Zone("z1"), &stats) {}
    StatsRegistry stats;
    VirtualEnvironment environment;
    IngressService ingress;
  };

  VirtualScheduler scheduler;
  ModelNetwork network;
  FakeProtocol protocol;
  FixedTable reader;
  Configuration configuration = PagesConfiguration();
  std::map<std::string, Seen> seen;
  /// Longest time of a call.
  Duration longest_call{0};
  /// Longest time from a caller's first call to its last result.
  Duration longest_wait{0};
  std::vector<Duration> retry_after;
  /// Times from the arrival of a retry at its gateway to its rejection.
  std::vector<Duration> rejected_again_after;
  std::vector<std::unique_ptr<Gateway>> gateways_;

 private:
  struct Call {
    std::string tenant;
    std::string path;
    Duration first_at{0};
    Duration sent_at{0};
    bool retry = false;
  };

  size_t Total(size_t ModelBackend::*count) const {
    size_t sum = 0;
    for (const auto& [id, instance] : configuration.instances) {
      sum += const_cast<Fleet*>(this)->network.At(instance.address).*count;
    }
    return sum;
  }

  void ScheduleNext(double per_second, Duration end, const std::string& tenant,
                    const std::string& path) {
    const double gap = -std::log(1 - DrawUnit(scheduler.Random())) / per_second;
    scheduler.Schedule(FromSeconds(gap), [=, this] {
      if (scheduler.Now() >= end) return;
      ++seen[tenant].requests;
      Send({tenant, path, scheduler.Now(), scheduler.Now(), false});
      ScheduleNext(per_second, end, tenant, path);
    });
  }

  /// A caller's call reaches a gateway drawn at random.
  void Send(Call call) {
    scheduler.Schedule(network.Delay(), [this, call] {
      Gateway& gateway = *gateways_[DrawBelow(scheduler.Random(), gateways_.size())];
      const Duration left = kTimeout - (call.retry ? scheduler.Now() - call.first_at : Duration(0));
      ForwardRequest request{
          {"POST", call.path, {}, ""}, "a.example", "id-" + std::to_string(++last_id_), left, {},
          TenantName(call.tenant)};
      gateway.ingress.Forward(std::move(request), [this, call, left, at = scheduler.Now()](
                                                      const ForwardResult& result) {
        OnResult(call, left, at, result);
      });
    });
  }

  void OnResult(const Call& call, Duration left, Duration at, const ForwardResult& result) {
    Seen& own = seen[call.tenant];
    longest_call = std::max(longest_call, scheduler.Now() - at);
    longest_wait = std::max(longest_wait, scheduler.Now() - call.first_at);
    if (result.outcome == ForwardOutcome::kAnswered) {
      ++own.answered;
      const Duration received_at = scheduler.Now() + network.Delay();
      if (received_at - call.sent_at <= kTarget) ++own.in_time;
      if (received_at - call.first_at <= kTarget) ++own.in_time_at_first;
      return;
    }
    if (result.outcome != ForwardOutcome::kNotRun) return;
    ++own.rejected;
    retry_after.push_back(result.retry_after);
    if (call.retry) {
      ++own.rejected_again;
      rejected_again_after.push_back(scheduler.Now() - at);
      return;
    }
    const Duration remaining = left - (scheduler.Now() - at);
    const Duration pause = std::min(result.retry_after, remaining / 3);
    scheduler.Schedule(network.Delay() + pause, [this, call] {
      ++seen[call.tenant].retried;
      Call again = call;
      again.retry = true;
      again.sent_at = scheduler.Now();
      Send(again);
    });
  }

  uint64_t last_id_ = 0;
};

struct Burst {
  Seen seen;
  double sends_per_request = 0;
  /// Counted from the answered call, and from its caller's first call.
  double in_time_of_completed = 0;
  double in_time_of_completed_at_first = 0;
  size_t completed = 0;
  size_t refused = 0;
  Duration longest_call{0};
  /// Median time after which a retry is rejected.
  Duration rejected_again_after{0};
  double limits_at_end = 0;
};

Duration Median(std::vector<Duration> values) {
  if (values.empty()) return Duration(0);
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// 720 requests per second for 8 s at 50 gateways, while two of four back ends are four times
/// slower; before and after, the usual 12 per second.
Burst PlayBurst(bool admission, uint64_t seed) {
  Fleet fleet(50, 4, admission, seed);
  fleet.Demand(12, seconds(18));
  fleet.scheduler.RunFor(seconds(4));
  fleet.Backend(0).SetWork(milliseconds(84));
  fleet.Backend(1).SetWork(milliseconds(84));
  for (int i = 0; i < 76; ++i) {
    fleet.Demand(i < 4 ? 120 : 228.0 / 72, seconds(8), "tenant" + std::to_string(i));
  }
  fleet.scheduler.RunFor(seconds(8));
  fleet.Backend(0).SetWork(milliseconds(21));
  fleet.Backend(1).SetWork(milliseconds(21));
  fleet.scheduler.RunFor(seconds(8));
  Burst burst;
  burst.seen = fleet.Sum();
  burst.completed = fleet.Completed();
  burst.refused = fleet.Refused();
  burst.sends_per_request =
      static_cast<double>(fleet.network.sends) / static_cast<double>(burst.seen.requests);
  burst.in_time_of_completed =
      static_cast<double>(burst.seen.in_time) / static_cast<double>(burst.completed);
  burst.in_time_of_completed_at_first =
      static_cast<double>(burst.seen.in_time_at_first) / static_cast<double>(burst.completed);
  burst.longest_call = fleet.longest_call;
  burst.rejected_again_after = Median(fleet.rejected_again_after);
  burst.limits_at_end = fleet.Stat("millstair_backend_limits");
  std::printf(
      "burst admission=%s seed=%llu requests=%zu sends=%zu sends_per_request=%.2f refused=%zu "
      "completed=%zu answered=%zu in_time=%zu in_time_at_first=%zu in_time_of_completed=%.3f "
      "rejected=%zu retried=%zu "
      "longest_call_ms=%lld limits_at_end=%.0f rejected_again=%zu rejected_again_after_ms=%lld\n",
      admission ? "on" : "off", static_cast<unsigned long long>(seed), burst.seen.requests,
      fleet.network.sends, burst.sends_per_request, burst.refused, burst.completed,
      burst.seen.answered, burst.seen.in_time, burst.seen.in_time_at_first,
      burst.in_time_of_completed, burst.seen.rejected, burst.seen.retried,
      static_cast<long long>(ToMilliseconds(burst.longest_call)), burst.limits_at_end,
      burst.seen.rejected_again,
      static_cast<long long>(ToMilliseconds(burst.rejected_again_after)));
  return burst;
}

/// The load of a shortage: 23 ms of usual work and a tail, of which four back ends complete about
/// 490 requests per second while two of them are four times slower.
struct Shortage {
  size_t gateways = 48;
  bool tenants = false;
  uint64_t seed = 1;
};

constexpr Duration kShortageWork = milliseconds(23);
constexpr double kShortageTail = 0.08;
constexpr size_t kSmallTenants = 72;

struct ShortageResult {
  double completed_per_second = 0;
  double sends_per_request = 0;
  /// Share of what was completed that was answered within the target, counted from the caller's
  /// first call, in the worst 6 s.
  double in_time_of_completed = 0;
  /// Share of the retrying callers that were rejected again.
  double rejected_again = 0;
  /// Lowest share of answered requests of the small tenants together; 1 without tenants.
  double small_answered = 1;
  Duration longest_wait{0};
};

/// Counts of a fleet at one moment of a shortage.
struct ShortageSample {
  size_t completed = 0;
  size_t in_time = 0;
};

double WorstInTimeOfCompleted(const std::vector<ShortageSample>& samples, size_t window) {
  double worst = 1;
  for (size_t end = window; end < samples.size(); ++end) {
    const ShortageSample& from = samples[end - window];
    const auto completed = static_cast<double>(samples[end].completed - from.completed);
    worst = std::min(worst, static_cast<double>(samples[end].in_time - from.in_time) / completed);
  }
  return worst;
}

void DemandShortage(Fleet& fleet, bool tenants) {
  if (!tenants) return fleet.Demand(720, seconds(8));
  for (int i = 0; i < 4; ++i) fleet.Demand(123, seconds(8), "large" + std::to_string(i));
  for (size_t i = 0; i < kSmallTenants; ++i) {
    fleet.Demand(228.0 / kSmallTenants, seconds(8), "small" + std::to_string(i));
  }
}

double SmallAnswered(const Fleet& fleet) {
  size_t requests = 0;
  size_t answered = 0;
  for (const auto& [tenant, seen] : fleet.seen) {
    if (tenant.rfind("small", 0) != 0) continue;
    requests += seen.requests;
    answered += seen.answered;
  }
  return requests == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(requests);
}

ShortageResult PlayShortage(const Shortage& shortage) {
  ModelBackend::Options options;
  options.work = kShortageWork;
  options.tail_share = kShortageTail;
  Fleet fleet(shortage.gateways, 4, true, shortage.seed, options);
  fleet.Demand(12, seconds(18), "usual");
  fleet.scheduler.RunFor(seconds(4));
  for (size_t i = 0; i < 2; ++i) fleet.Backend(i).SetWork(4 * kShortageWork);
  DemandShortage(fleet, shortage.tenants);
  constexpr Duration kStep = milliseconds(250);
  constexpr size_t kSteps = seconds(8) / kStep;
  std::vector<ShortageSample> samples;
  for (size_t i = 0; i <= kSteps; ++i) {
    samples.push_back({fleet.Completed(), fleet.Sum().in_time_at_first});
    if (i < kSteps) fleet.scheduler.RunFor(kStep);
  }
  for (size_t i = 0; i < 2; ++i) fleet.Backend(i).SetWork(kShortageWork);
  fleet.scheduler.RunFor(seconds(8));
  const Seen sum = fleet.Sum();
  ShortageResult result;
  result.completed_per_second =
      static_cast<double>(samples.back().completed - samples.front().completed) / 8;
  result.sends_per_request =
      static_cast<double>(fleet.network.sends) / static_cast<double>(sum.requests);
  result.in_time_of_completed = WorstInTimeOfCompleted(samples, seconds(6) / kStep);
  result.rejected_again =
      static_cast<double>(sum.rejected_again) / static_cast<double>(sum.retried);
  result.small_answered = SmallAnswered(fleet);
  result.longest_wait = fleet.longest_wait;
  std::printf(
      "shortage gateways=%zu tenants=%d seed=%llu requests=%zu completed_per_second=%.0f "
      "sends_per_request=%.2f in_time_of_completed=%.3f answered=%zu in_time_at_first=%zu "
      "retried=%zu rejected_again=%.3f small_answered=%.3f longest_wait_ms=%lld\n",
      shortage.gateways, shortage.tenants ? 76 : 0, static_cast<unsigned long long>(shortage.seed),
      sum.requests, result.completed_per_second, result.sends_per_request,
      result.in_time_of_completed, sum.answered, sum.in_time_at_first, sum.retried,
      result.rejected_again, result.small_answered,
      static_cast<long long>(ToMilliseconds(result.longest_wait)));
  return result;
}

/// The results of four seeds with 48 and 54 gateways, played once.
const std::vector<ShortageResult>& Shortages(bool tenants) {
  static const auto play_all = [](bool tenants) {
    std::vector<ShortageResult> results;
    for (const size_t gateways : {48, 54}) {
      for (uint64_t seed = 1; seed <= 4; ++seed) {
        results.push_back(PlayShortage({gateways, tenants, seed}));
      }
    }
    return results;
  };
  static const std::vector<ShortageResult> without_tenants = play_all(false);
  static const std::vector<ShortageResult> with_tenants = play_all(true);
  return tenants ? with_tenants : without_tenants;
}

// Guards against retries that are served past their target before first attempts, which then come
// back past their target too.
TEST_CASE("In a shortage most completed work is in time from the first call of its caller") {
  for (const bool tenants : {false, true}) {
    for (const ShortageResult& result : Shortages(tenants)) {
      CHECK(result.in_time_of_completed >= 0.6);
    }
  }
}

// Guards against a fall back to the order without classes: at least twice its goodput is asked.
TEST_CASE("In a shortage at least twice as much is in time as without classes") {
  // Greatest of the eight plays without classes, see docs/design/admission.md.
  constexpr double kWithoutClasses = 0.107;
  constexpr double kWithoutClassesTenants = 0.111;
  for (const ShortageResult& result : Shortages(false)) {
    CHECK(result.in_time_of_completed >= 2 * kWithoutClasses);
  }
  for (const ShortageResult& result : Shortages(true)) {
    CHECK(result.in_time_of_completed >= 2 * kWithoutClassesTenants);
  }
}

// Guards against large tenants that take the share of the small ones where many gateways each see
// few requests.
TEST_CASE("In a shortage small tenants are answered while large ones flood the service") {
  for (const ShortageResult& result : Shortages(true)) CHECK(result.small_answered >= 0.95);
}

// Guards against a shortage that is amplified by sends, and against requests that outlive their
// callers.
TEST_CASE("In a shortage requests are sent at most 1.5 times and end at their time limit") {
  for (const bool tenants : {false, true}) {
    for (const ShortageResult& result : Shortages(tenants)) {
      CHECK(result.sends_per_request <= 1.5);
      CHECK(result.longest_wait <= kTimeout + 2 * kNetworkMax);
      // The load is the one that is asked for.
      CHECK(result.completed_per_second >= 400);
      CHECK(result.completed_per_second <= 540);
    }
  }
}

// Guards against retries that multiply a burst, and against back ends that are busy with requests
// whose responses come too late.
TEST_CASE("A burst to slow back ends is not amplified, and most completed work is in time") {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    const Burst off = PlayBurst(false, seed);
    const Burst on = PlayBurst(true, seed);
    CHECK(on.sends_per_request <= 1.5);
    CHECK(on.in_time_of_completed >= 0.6);
    CHECK(on.longest_call <= kTimeout);
    // Most retries that can't be answered in time are rejected on arrival.
    CHECK(on.rejected_again_after <= kTarget / 4);
    CHECK(on.limits_at_end == 0);
    // Attempts of the route and four more, for each of the two calls of a caller.
    CHECK(off.sends_per_request <= 12);
  }
}

// Guards against rejections whose retries take the place of requests that could still be in time.
TEST_CASE("In a burst most completed work is in time from the first call of its caller") {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    CHECK(PlayBurst(true, seed).in_time_of_completed_at_first >= 0.6);
  }
}

double Share(const Seen& seen) {
  return static_cast<double>(seen.answered) / static_cast<double>(seen.requests);
}

// Guards against a large tenant that takes the capacity of the small ones.
TEST_CASE("In a shortage tenants share equally, and unused shares go to the others") {
  Fleet fleet(4, 1, true);
  // The back end answers 285 per second; an equal share is 71.
  fleet.Demand(500, seconds(10), "large");
  for (const char* small : {"s1", "s2", "s3"}) fleet.Demand(40, seconds(10), small);
  fleet.scheduler.RunFor(seconds(12));
  std::printf("tenants: large %.2f of %zu, small %.2f %.2f %.2f\n", Share(fleet.seen["large"]),
              fleet.seen["large"].requests, Share(fleet.seen["s1"]), Share(fleet.seen["s2"]),
              Share(fleet.seen["s3"]));
  for (const char* small : {"s1", "s2", "s3"}) CHECK(Share(fleet.seen[small]) >= 0.95);
  // What the small tenants leave is 165 per second; the back end is not left idle.
  CHECK(fleet.seen["large"].answered >= 1300);
}

// Guards against urgent requests that wait behind others.
TEST_CASE("In a shortage the requests of the more urgent route are answered") {
  Fleet fleet(4, 1, true);
  fleet.Demand(500, seconds(10), "a");
  fleet.Demand(100, seconds(10), "b", "/u/x");
  fleet.scheduler.RunFor(seconds(12));
  std::printf("priorities: urgent %.2f, others %.2f\n", Share(fleet.seen["b"]),
              Share(fleet.seen["a"]));
  CHECK(Share(fleet.seen["b"]) >= 0.95);
  CHECK(Share(fleet.seen["a"]) < 0.6);
}

// Guards against limits and rejections without overload.
TEST_CASE("A calm service is never limited") {
  Fleet fleet(50, 4, true);
  fleet.Demand(300, seconds(10));
  for (int i = 0; i < 110; ++i) {
    fleet.scheduler.RunFor(milliseconds(100));
    REQUIRE(fleet.Stat("millstair_backend_limits") == 0);
  }
  const Seen sum = fleet.Sum();
  CHECK(sum.answered == sum.requests);
  CHECK(fleet.network.sends == sum.requests);
  CHECK(fleet.Stat("millstair_admission_rejected_total") == 0);
}

// Guards against limits that a usual tail of slower responses, still within the target, keeps in
// force after a burst.
TEST_CASE("After a burst the limits end although some responses take most of the target") {
  ModelBackend::Options options;
  options.work = kShortageWork;
  options.tail_share = kShortageTail;
  Fleet fleet(1, 4, true, 7, options);
  fleet.Demand(100, seconds(30));
  fleet.scheduler.RunFor(seconds(2));
  fleet.Demand(1200, seconds(3));
  fleet.scheduler.RunFor(seconds(3));
  CHECK(fleet.Stat("millstair_backend_limits") > 0);
  fleet.scheduler.RunFor(seconds(5));
  for (int i = 0; i < 150; ++i) {
    REQUIRE(fleet.Stat("millstair_backend_limits") == 0);
    fleet.scheduler.RunFor(milliseconds(100));
  }
}

// Guards against a limit on a service whose route has a target that it never meets.
TEST_CASE("A service that is slow without load is not limited for long") {
  Fleet fleet(4, 4, true);
  for (size_t i = 0; i < 4; ++i) fleet.Backend(i).SetWork(milliseconds(200));
  fleet.Demand(20, seconds(20));
  fleet.scheduler.RunFor(seconds(10));
  const Seen before = fleet.Sum();
  CHECK(fleet.Stat("millstair_backend_limits") == 0);
  fleet.scheduler.RunFor(seconds(11));
  const Seen after = fleet.Sum();
  CHECK(after.answered - before.answered + 10 >= after.requests - before.requests);
}

// Guards against Retry-After values that are beyond what callers wait, or that return all callers
// at once.
TEST_CASE("Rejections are immediate, and their Retry-After is spread within what callers wait") {
  Fleet fleet(4, 1, true);
  fleet.Demand(600, seconds(6));
  fleet.scheduler.RunFor(seconds(8));
  REQUIRE(fleet.retry_after.size() > 100);
  std::set<int64_t> different;
  for (const Duration after : fleet.retry_after) {
    CHECK(after >= milliseconds(20));
    CHECK(after <= kTimeout / 3);
    different.insert(after.count());
  }
  // Some hit the greatest value, a third of the time that is left.
  CHECK(different.size() >= fleet.retry_after.size() / 4);
}

// Guards against sends that multiply when nothing is answered.
TEST_CASE("Back ends that refuse everything get few sends, and callers get truthful rejections") {
  Fleet fleet(10, 4, true);
  for (size_t i = 0; i < 4; ++i) fleet.Backend(i).Close();
  fleet.Demand(100, seconds(10));
  fleet.scheduler.RunFor(seconds(12));
  const Seen sum = fleet.Sum();
  std::printf("all refuse: requests=%zu sends=%zu rejected=%zu\n", sum.requests,
              fleet.network.sends, sum.rejected);
  CHECK(sum.answered == 0);
  CHECK(fleet.Completed() == 0);
  CHECK(sum.rejected == sum.requests + sum.retried);
  CHECK(static_cast<double>(fleet.network.sends) <= 1.5 * static_cast<double>(sum.requests));
}

}  // namespace
}  // namespace millstair
