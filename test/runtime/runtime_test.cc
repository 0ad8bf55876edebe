#include "runtime/runtime.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <optional>
#include <thread>
#include <vector>

#include "runtime/endpoint.h"
#include "runtime/runtime_environment.h"
#include "test/common/log_pipe.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Tasks of one executor run one at a time and in order") {
  Runtime runtime({.workers = 4});
  const auto executor = runtime.NewExecutor();
  std::vector<int> order;
  std::atomic<int> inside{0};
  std::atomic<int> overlaps{0};
  constexpr int kTasks = 5000;
  for (int i = 0; i < kTasks; ++i) {
    executor->Post([&, i] {
      if (inside.fetch_add(1) != 0) ++overlaps;
      order.push_back(i);
      inside.fetch_sub(1);
    });
  }
  REQUIRE(executor->PostAndWait([] {}));
  CHECK(overlaps == 0);
  REQUIRE(order.size() == kTasks);
  CHECK(std::is_sorted(order.begin(), order.end()));
  executor->Stop();
}

TEST_CASE("Many executors share the arena and all make progress") {
  Runtime runtime({.workers = 2});
  std::vector<std::shared_ptr<SerialExecutor>> executors;
  std::vector<int> counts(50, 0);
  for (size_t i = 0; i < counts.size(); ++i) executors.push_back(runtime.NewExecutor());
  for (int round = 0; round < 200; ++round) {
    for (size_t i = 0; i < counts.size(); ++i) executors[i]->Post([&counts, i] { ++counts[i]; });
  }
  for (const auto& executor : executors) REQUIRE(executor->PostAndWait([] {}));
  for (const int count : counts) CHECK(count == 200);
  for (const auto& executor : executors) executor->Stop();
}

TEST_CASE("Several runtimes of one process don't take each other's workers") {
  std::vector<std::unique_ptr<Runtime>> runtimes;
  std::vector<std::shared_ptr<SerialExecutor>> executors;
  for (int i = 0; i < 8; ++i) {
    runtimes.push_back(std::make_unique<Runtime>(RuntimeOptions{.workers = 4}));
    executors.push_back(runtimes.back()->NewExecutor());
  }
  for (size_t i = 0; i < executors.size(); ++i) {
    std::promise<void> background;
    runtimes[i]->RunInBackground([&background] { background.set_value(); });
    background.get_future().wait();
    CHECK(executors[i]->PostAndWait([] {}));
    executors[i]->Stop();
  }
}

TEST_CASE("A stopped executor drops its tasks and runs no further ones") {
  Runtime runtime;
  const auto executor = runtime.NewExecutor();
  std::atomic<bool> later{false};
  std::promise<void> stopped;
  executor->Post([&] {
    executor->Post([&] { later = true; });
    executor->Stop();
    stopped.set_value();
  });
  stopped.get_future().wait();
  executor->Stop();
  CHECK_FALSE(later);
  CHECK_FALSE(executor->PostAndWait([] {}));
}

TEST_CASE("Timers run on the executor in the order of their deadlines, cancelled ones never") {
  Runtime runtime;
  const auto executor = runtime.NewExecutor();
  auto environment = std::make_unique<RuntimeEnvironment>(runtime, executor, 1);
  std::vector<int> fired;
  std::promise<void> last;
  executor->Post([&] {
    environment->Schedule(milliseconds(30), [&] {
      fired.push_back(3);
      last.set_value();
    });
    environment->Schedule(milliseconds(10), [&] { fired.push_back(1); });
    const TimerId taken_back = environment->Schedule(milliseconds(15), [&] { fired.push_back(9); });
    environment->Schedule(milliseconds(20), [&] { fired.push_back(2); });
    environment->Cancel(taken_back);
  });
  last.get_future().wait();
  REQUIRE(executor->PostAndWait([&] { environment.reset(); }));
  CHECK(fired == std::vector<int>{1, 2, 3});
  executor->Stop();
}

TEST_CASE("Time includes suspension, and timers that expired during it run soon afterwards") {
  Runtime runtime;
  const auto executor = runtime.NewExecutor();
  // Simulates a clock that includes suspension; the steady clock, on which threads wait, does not.
  std::atomic<int64_t> suspended_us{0};
  const auto clock = [&suspended_us] {
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(steady) + Duration(suspended_us.load()));
  };
  auto environment = std::make_unique<RuntimeEnvironment>(runtime, executor, 1, clock);
  std::promise<void> due;
  TimePoint scheduled;
  TimePoint ran;
  REQUIRE(executor->PostAndWait([&] {
    scheduled = environment->Now();
    environment->Schedule(std::chrono::seconds(30), [&] {
      ran = environment->Now();
      due.set_value();
    });
    // Stands for the heartbeat timer.
    environment->Schedule(milliseconds(20), [] {});
  }));
  suspended_us = Duration(std::chrono::seconds(60)).count();
  REQUIRE(due.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  REQUIRE(executor->PostAndWait([&] { environment.reset(); }));
  CHECK(ran - scheduled >= std::chrono::seconds(30));
  executor->Stop();
}

TEST_CASE("The default clock includes suspension") {
  Runtime runtime;
  const auto executor = runtime.NewExecutor();
  RuntimeEnvironment environment(runtime, executor, 1);
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const TimePoint before(
      std::chrono::seconds(boot.tv_sec) +
      std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(boot.tv_nsec)));
  const Duration apart = environment.Now() - before;
  CHECK(apart >= Duration(0));
  CHECK(apart < std::chrono::seconds(5));
  executor->Stop();
}

// Guards against processes of which the log doesn't tell whether they waited for a processor.
TEST_CASE("A timer that runs late is logged with the use of the processor") {
  LogPipe log;
  Runtime runtime({.workers = 1});
  const auto executor = runtime.NewExecutor();
  std::promise<void> fired;
  const bool computes = GENERATE(false, true);
  std::optional<RuntimeEnvironment> environment;
  executor->PostAndWait([&] {
    environment.emplace(runtime, executor);
    environment->Schedule(milliseconds(1), [&] {
      // The first reading has been made.
      environment->Schedule(milliseconds(10), [&fired] { fired.set_value(); });
      const auto end = std::chrono::steady_clock::now() + milliseconds(600);
      if (!computes) std::this_thread::sleep_until(end);
      while (std::chrono::steady_clock::now() < end) continue;
    });
  });
  fired.get_future().wait();
  executor->PostAndWait([&] { environment.reset(); });
  executor->Stop();
  const std::string text = log.Read();
  INFO(text);
  // The timer that waited is the last one; others may be late where no processor is free.
  const size_t line = text.rfind("name=TimerLate");
  REQUIRE(line != std::string::npos);
  const auto value = [&](const std::string& key) {
    return std::stol(text.substr(text.find(key + "=", line) + key.size() + 1));
  };
  CHECK(value("late_ms") >= 500);
  if (computes) CHECK(value("processor_ms") + value("run_delay_ms") >= 300);
  if (!computes) CHECK(value("processor_ms") <= 300);
}

TEST_CASE("Background work runs, and Stop waits for it") {
  std::atomic<int> done{0};
  Runtime runtime;
  for (int i = 0; i < 20; ++i) runtime.RunInBackground([&] { ++done; });
  runtime.Stop();
  CHECK(done == 20);
}

TEST_CASE("Endpoints are IP addresses with a port") {
  CHECK(FormatEndpoint(*ParseEndpoint("127.0.0.1:80")) == "127.0.0.1:80");
  CHECK(FormatEndpoint(*ParseEndpoint("[::1]:443")) == "[::1]:443");
  CHECK_FALSE(ParseEndpoint("localhost:80").ok());
  CHECK_FALSE(ParseEndpoint("127.0.0.1").ok());
  CHECK_FALSE(ParseEndpoint("127.0.0.1:65536").ok());
  CHECK_FALSE(ParseEndpoint("127.0.0.1:").ok());
}

}  // namespace
}  // namespace millstair
