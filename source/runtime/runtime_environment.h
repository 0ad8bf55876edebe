/// Environment with real clocks: one Asio timer per node, callbacks on the node's serial executor.
#pragma once

#include <functional>
#include <memory>

#include "common/environment.h"
#include "runtime/runtime.h"

namespace millstair {

/// Must be called on `executor`, or before its first task. Must be destroyed on the executor or
/// after it was stopped; pending callbacks are dropped.
class RuntimeEnvironment : public Environment {
 public:
  /// Seeds the random engine from the operating system.
  RuntimeEnvironment(Runtime& runtime, std::shared_ptr<SerialExecutor> executor);
  RuntimeEnvironment(Runtime& runtime, std::shared_ptr<SerialExecutor> executor, uint64_t seed);
  /// For tests: `clock` replaces the system clock.
  RuntimeEnvironment(Runtime& runtime, std::shared_ptr<SerialExecutor> executor, uint64_t seed,
                     std::function<TimePoint()> clock);
  ~RuntimeEnvironment() override;

  TimePoint Now() const override;
  WallTime WallNow() const override;
  RandomEngine& Random() override { return random_; }
  TimerId Schedule(Duration delay, std::function<void()> callback) override;
  void Cancel(TimerId timer) override;

 private:
  class TimerQueue;

  RandomEngine random_;
  std::shared_ptr<TimerQueue> timers_;
};

}  // namespace millstair
