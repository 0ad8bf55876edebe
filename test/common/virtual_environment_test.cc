#include "common/virtual_environment.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("events run in the order of time, then of scheduling") {
  VirtualScheduler scheduler(1);
  std::vector<int> order;
  scheduler.Schedule(milliseconds(2), [&] { order.push_back(3); });
  scheduler.Schedule(milliseconds(1), [&] { order.push_back(1); });
  scheduler.Schedule(milliseconds(1), [&] { order.push_back(2); });
  const TimerId cancelled = scheduler.Schedule(milliseconds(1), [&] { order.push_back(9); });
  scheduler.Cancel(cancelled);
  REQUIRE(scheduler.Run(100) == 3);
  REQUIRE(order == std::vector<int>{1, 2, 3});
  REQUIRE(scheduler.Now() == milliseconds(2));
}

TEST_CASE("RunUntil stops at the time and RunUntilTrue at the condition") {
  VirtualScheduler scheduler(1);
  int count = 0;
  std::function<void()> tick = [&] {
    ++count;
    scheduler.Schedule(milliseconds(10), tick);
  };
  scheduler.Schedule(milliseconds(10), tick);
  scheduler.RunUntil(milliseconds(95));
  REQUIRE(count == 9);
  REQUIRE(scheduler.Now() == milliseconds(95));
  REQUIRE(scheduler.RunUntilTrue([&] { return count == 12; }, seconds(1)));
  REQUIRE(scheduler.Now() == milliseconds(120));
  REQUIRE_FALSE(scheduler.RunUntilTrue([&] { return count == 1000; }, seconds(1)));
}

TEST_CASE("a fast clock runs its timers early in true time") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment fast(scheduler, 1, {.rate = 2.0});
  const TimePoint start = fast.Now();
  Duration fired{0};
  fast.Schedule(seconds(2), [&] { fired = scheduler.Now(); });
  scheduler.RunUntil(seconds(3));
  REQUIRE(fired == seconds(1));
  REQUIRE(fast.Now() - start == seconds(6));
  fast.SetRate(1.0);
  scheduler.RunUntil(seconds(4));
  REQUIRE(fast.Now() - start == seconds(7));
}

TEST_CASE("a killed node runs no callback and destroys its callbacks") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment node(scheduler, 1);
  auto held = std::make_shared<int>(0);
  node.Schedule(seconds(1), [held] { ++*held; });
  REQUIRE(held.use_count() == 2);
  node.Kill();
  REQUIRE(held.use_count() == 1);
  node.Schedule(seconds(1), [held] { ++*held; });
  scheduler.RunUntil(seconds(5));
  REQUIRE(*held == 0);
}

TEST_CASE("a suspended node runs nothing until it wakes, while its clock advances") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment node(scheduler, 1);
  VirtualEnvironment other(scheduler, 2);
  std::string order;
  node.Schedule(seconds(2), [&] { order += 'b'; });
  node.Schedule(seconds(1), [&] { order += 'a'; });
  const TimerId taken_back = node.Schedule(seconds(1), [&] { order += 'x'; });
  node.Schedule(seconds(6), [&] { order += 'c'; });
  other.Schedule(seconds(1), [&] { order += '1'; });
  const TimePoint start = node.Now();
  node.Suspend();
  scheduler.RunUntil(seconds(4));
  REQUIRE(order == "1");
  REQUIRE(node.Now() - start == seconds(4));
  node.Cancel(taken_back);
  node.Wake();
  scheduler.RunUntil(seconds(5));
  REQUIRE(order == "1ab");
  scheduler.RunUntil(seconds(6));
  REQUIRE(order == "1abc");
}

TEST_CASE("a node that is killed while suspended runs nothing") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment node(scheduler, 1);
  int ran = 0;
  node.Schedule(seconds(1), [&ran] { ++ran; });
  node.Suspend();
  scheduler.RunUntil(seconds(2));
  node.Kill();
  node.Wake();
  scheduler.RunUntil(seconds(5));
  REQUIRE(ran == 0);
}

TEST_CASE("the same seed gives a node the same random numbers") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment first(scheduler, 42);
  VirtualEnvironment second(scheduler, 42);
  REQUIRE(first.Random()() == second.Random()());
}

}  // namespace
}  // namespace millstair
