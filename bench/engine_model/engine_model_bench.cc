/// Measures how much faster than real time the engine model runs under full load: one closed-loop
/// caller per batch slot, with a prompt prefix shared by all callers.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "common/virtual_environment.h"
#include "emulator/model/engine_model.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr int kCallersPerEngine = 32;
constexpr int kSharedWords = 48;
constexpr int kOwnWords = 48;
constexpr uint32_t kMaxTokens = 512;
constexpr Duration kSimulatedTime = std::chrono::seconds(60);

/// Sends the next request as soon as the previous one has finished.
class ClosedLoopCaller : public GenerateObserver {
 public:
  ClosedLoopCaller(EngineModel& engine, int number) : engine_(engine), number_(number) {}

  void SendRequest() {
    GenerateRequest request;
    request.request_id = fmt::format("{}-{}", number_, sent_++);
    request.model = ModelName("m");
    for (int i = 0; i < kSharedWords; ++i) request.prompt += fmt::format("shared{} ", i);
    for (int i = 0; i < kOwnWords; ++i)
      request.prompt += fmt::format("{}x{} ", request.request_id, i);
    request.max_tokens = kMaxTokens;
    engine_.Generate(std::move(request), *this);
  }

  void OnChunk(const GenerateChunk& chunk) override {
    if (chunk.finished) SendRequest();
  }
  void OnFailed(CallFailure, bool, const std::string&) override {}

 private:
  EngineModel& engine_;
  int number_;
  int sent_ = 0;
};

/// Engines and their callers on one virtual scheduler.
struct LoadedEngines {
  explicit LoadedEngines(int count) : scheduler(1), environment(scheduler, 2) {
    EngineModelOptions options;
    options.initial_weights = {ModelName("m"), WeightVersion(1), WeightDigest("sha-m/1")};
    for (int i = 0; i < count; ++i) {
      engines.push_back(std::make_unique<EngineModel>(environment, options));
      for (int j = 0; j < kCallersPerEngine; ++j) {
        callers.push_back(
            std::make_unique<ClosedLoopCaller>(*engines.back(), i * kCallersPerEngine + j));
        callers.back()->SendRequest();
      }
    }
  }

  uint64_t tokens() const {
    uint64_t sum = 0;
    for (const auto& engine : engines) sum += engine->counts().tokens;
    return sum;
  }

  VirtualScheduler scheduler;
  VirtualEnvironment environment;
  std::vector<std::unique_ptr<EngineModel>> engines;
  std::vector<std::unique_ptr<ClosedLoopCaller>> callers;
};

void EnginesUnderLoad(benchmark::State& state) {
  const auto count = static_cast<int>(state.range(0));
  LoadedEngines engines_under_load(count);
  double simulated = 0;
  for (auto _ : state) {
    engines_under_load.scheduler.RunFor(kSimulatedTime);
    simulated += ToSeconds(kSimulatedTime);
  }
  state.counters["times_real_time"] = benchmark::Counter(simulated, benchmark::Counter::kIsRate);
  state.counters["tokens_per_second"] = benchmark::Counter(
      static_cast<double>(engines_under_load.tokens()), benchmark::Counter::kIsRate);
  state.counters["events_per_engine_second"] =
      static_cast<double>(engines_under_load.scheduler.events_run()) / simulated / count;
}
BENCHMARK(EnginesUnderLoad)->Arg(1)->Arg(9)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace millstair

BENCHMARK_MAIN();
