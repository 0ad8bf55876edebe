/// A timer that is taken back when its owner goes, so that no callback outlives it.
#pragma once

#include <functional>
#include <utility>

#include "common/environment.h"

namespace millstair {

/// One timer at a time; arming again replaces the earlier one. Member of its owner, so that the
/// callback may use `this` of the owner.
class ScopedTimer {
 public:
  explicit ScopedTimer(Environment& environment) : environment_(environment) {}
  ~ScopedTimer() { Cancel(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

  void Arm(Duration delay, std::function<void()> callback) {
    Cancel();
    timer_ = environment_.Schedule(delay, [this, callback = std::move(callback)] {
      timer_ = TimerId();
      // The callback may destroy this timer, so it runs from a copy on the stack.
      const std::function<void()> run = callback;
      run();
    });
  }

  void Cancel() {
    if (!armed()) return;
    environment_.Cancel(timer_);
    timer_ = TimerId();
  }

  bool armed() const { return timer_ != TimerId(); }

 private:
  Environment& environment_;
  TimerId timer_;
};

}  // namespace millstair
