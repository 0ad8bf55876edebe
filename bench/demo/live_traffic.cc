#include "bench/demo/live_traffic.h"

#include <atomic>
#include <thread>

#include "bench/load/open_loop.h"
#include "fmt/format.h"

namespace millstair {
namespace {

using checks::CallAttempt;
using checks::CallEnd;
using checks::CallKind;
using checks::ClaimedOutcome;

constexpr int kThreadsPerKind = 24;
constexpr int kMaxBookingAttempts = 6;
constexpr Duration kCallTimeout = std::chrono::seconds(20);
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
constexpr int kPromptGroups = 6;
constexpr int kSharedWords = 48;

std::string LivePrompt(size_t index) {
  std::string prompt;
  for (int word = 0; word < kSharedWords; ++word) {
    prompt += fmt::format("preamble{}w{} ", index % kPromptGroups, word);
  }
  return prompt + fmt::format("live{}", index);
}

/// Whether a booking may be retried: no final response was received.
bool ShouldRetry(const CallAttempt& call) {
  if (call.end == CallEnd::kComplete) return false;
  return call.outcome == ClaimedOutcome::kNotRun || call.outcome == ClaimedOutcome::kNone;
}

class TrafficKind {
 public:
  TrafficKind(DemoRun& run, std::string name, LatencyHistogram& latency)
      : run_(run), name_(std::move(name)), latency_(latency) {}

  void Completion(size_t index, Duration due) {
    LiveCall call;
    call.kind = CallKind::kCompletion;
    call.attempt_id = fmt::format("{}-{}", name_, index);
    call.model = run_.fleet().model;
    call.prompt = LivePrompt(index);
    call.max_tokens = static_cast<uint32_t>(run_.fleet().max_tokens);
    call.stream = index % 4 != 0;
    call.timeout = kCallTimeout;
    Finish(SendCall(run_.caller(), run_.PickGateway(), call, run_.clock()), due);
  }

  void Plain(const FleetTraffic& traffic, size_t index, Duration due) {
    LiveCall call;
    call.kind = traffic.kind;
    call.host = traffic.host;
    call.timeout = kCallTimeout;
    const std::string id = fmt::format("{}-{}", name_, index);
    call.path = traffic.path + "/" + id;
    if (traffic.kind != CallKind::kBooking) {
      call.attempt_id = id;
      Finish(SendCall(run_.caller(), run_.PickGateway(), call, run_.clock()), due);
      return;
    }
    call.key = id;
    call.body = fmt::format(R"({{"order":"{}"}})", id);
    Book(call, index, due);
  }

 private:
  /// Sends a booking and, without a final response, retries it at the next gateway with the same
  /// idempotency key. Every eighth one is sent to two gateways concurrently.
  void Book(LiveCall call, size_t index, Duration due) {
    std::thread duplicate;
    if (index % 8 == 0) {
      LiveCall second = call;
      second.attempt_id = call.key + "-twin";
      duplicate = std::thread([this, second, due] {
        Finish(SendCall(run_.caller(), run_.PickGateway(), second, run_.clock()), due);
      });
    }
    for (int attempt = 0; attempt < kMaxBookingAttempts; ++attempt) {
      call.attempt_id = fmt::format("{}-try{}", call.key, attempt);
      const CallAttempt record = SendCall(run_.caller(), run_.PickGateway(), call, run_.clock());
      const bool retry = ShouldRetry(record);
      Finish(record, due);
      if (!retry || run_.stopping()) break;
      run_.Sleep(kRetryDelay);
    }
    if (duplicate.joinable()) duplicate.join();
  }

  void Finish(CallAttempt record, Duration due) {
    if (record.end == CallEnd::kComplete) latency_.Add(*record.ended - due);
    run_.Record([&](checks::History& history) { history.calls.push_back(std::move(record)); });
  }

  DemoRun& run_;
  std::string name_;
  LatencyHistogram& latency_;
};

}  // namespace

void RunLiveTraffic(DemoRun& run, Duration length, LiveLatencies& latencies) {
  std::vector<std::thread> kinds;
  const Duration begin = run.clock().Now();
  const auto stopped = [&run] { return run.stopping(); };
  kinds.emplace_back([&, begin] {
    TrafficKind kind(run, "completion", latencies.completions);
    const auto due = PoissonArrivals(run.fleet().completion_rate, begin, length, 11);
    RunOpenLoop(
        run.clock(), due, kThreadsPerKind,
        [&](size_t index) { kind.Completion(index, due[index]); }, stopped);
  });
  uint64_t seed = 20;
  for (const FleetTraffic& traffic : run.fleet().traffic) {
    ++seed;
    kinds.emplace_back([&, begin, seed] {
      TrafficKind kind(run, fmt::format("plain{}", seed), latencies.plain);
      const auto due = PoissonArrivals(traffic.rate, begin, length, seed);
      RunOpenLoop(
          run.clock(), due, kThreadsPerKind,
          [&](size_t index) { kind.Plain(traffic, index, due[index]); }, stopped);
    });
  }
  for (std::thread& kind : kinds) kind.join();
}

}  // namespace millstair
