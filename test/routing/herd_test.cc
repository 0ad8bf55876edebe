// Many gateways with equally old reports must not all select the same engine.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <vector>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "routing/engine_router.h"
#include "test/routing/configuration_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

constexpr int kEngines = 40;
constexpr int kGateways = 20;
constexpr Duration kReportInterval = milliseconds(500);
constexpr Duration kReportLag = milliseconds(300);
constexpr Duration kServiceTime = milliseconds(800);
/// Rate that keeps 40 engines at 12 of 32 sequences each.
constexpr Duration kArrivalInterval = kServiceTime / (kEngines * 12);
constexpr Duration kRunTime = std::chrono::seconds(20);
constexpr Duration kWarmUp = std::chrono::seconds(2);

std::string EngineAt(int i) { return fmt::format("e{:02}", i); }

/// Engines that only count their sequences, with many routers that receive late reports.
class HerdRun {
 public:
  HerdRun(RoutingPolicy policy, uint64_t seed) : scheduler_(seed), environment_(scheduler_, seed) {
    ConfigurationBuilder builder;
    for (int i = 0; i < kEngines; ++i) builder.Engine(EngineAt(i), "z1");
    for (int i = 0; i < kGateways; ++i) builder.Gateway(fmt::format("g{:02}", i), "z1");
    const Configuration configuration = builder.Build();
    RouterOptions options;
    options.zone = Zone("z1");
    options.policy = policy;
    for (int i = 0; i < kGateways; ++i) {
      routers_.push_back(std::make_unique<EngineRouter>(environment_, options));
      routers_.back()->UpdateConfiguration(configuration);
    }
  }

  /// Mean over time of the standard deviation of the engines' sequences.
  double MeanSpread() {
    ReportAll();
    Arrive();
    scheduler_.RunUntil(kRunTime);
    return spread_sum_ / samples_;
  }

 private:
  void ReportAll() {
    const std::vector<uint32_t> figures = running_;
    scheduler_.Schedule(kReportLag, [this, figures] {
      for (int i = 0; i < kEngines; ++i) {
        const TimePoint taken_at = environment_.Now() - kReportLag;
        for (auto& router : routers_) {
          router->ApplyReport(EngineName(EngineAt(i)), ReportWith(figures[i]), taken_at);
        }
      }
    });
    scheduler_.Schedule(kReportInterval, [this] { ReportAll(); });
  }

  void Arrive() {
    scheduler_.Schedule(kArrivalInterval, [this] { Arrive(); });
    if (scheduler_.Now() < kReportLag) return;
    EngineRouter& router = *routers_[DrawBelow(scheduler_.Random(), kGateways)];
    const auto placement = router.Place(LiveGroup(), LiveRequest());
    REQUIRE(placement);
    const int engine = std::stoi(placement->choice.engine.value().substr(1));
    ++running_[engine];
    const Duration time = DrawDuration(scheduler_.Random(), kServiceTime / 2, kServiceTime * 3 / 2);
    scheduler_.Schedule(time, [this, engine, &router, id = placement->id] {
      --running_[engine];
      router.End(id, {.end = PlacementEnd::kFinished, .tokens = 40, .elapsed = kServiceTime});
    });
    if (scheduler_.Now() > kWarmUp) Sample();
  }

  void Sample() {
    double sum = 0;
    double squares = 0;
    for (const uint32_t running : running_) {
      sum += running;
      squares += static_cast<double>(running) * running;
    }
    const double mean = sum / kEngines;
    spread_sum_ += std::sqrt(std::max(0.0, squares / kEngines - mean * mean));
    ++samples_;
  }

  VirtualScheduler scheduler_;
  VirtualEnvironment environment_;
  std::vector<std::unique_ptr<EngineRouter>> routers_;
  std::vector<uint32_t> running_ = std::vector<uint32_t>(kEngines, 0);
  double spread_sum_ = 0;
  double samples_ = 0;
};

TEST_CASE("with late reports the sampled estimate spreads work better than least outstanding") {
  for (const uint64_t seed : {1, 2, 3}) {
    const double estimate = HerdRun(RoutingPolicy::kEstimate, seed).MeanSpread();
    const double least = HerdRun(RoutingPolicy::kLeastOutstanding, seed).MeanSpread();
    CAPTURE(seed, estimate, least);
    // Random placement would give a standard deviation of about 3.5, the square root of the mean.
    CHECK(estimate < 4.5);
    CHECK(estimate < 0.6 * least);
  }
}

}  // namespace
}  // namespace millstair
