/// A timer that is cancelled by its destructor, so that its callback never outlives the owner.
#pragma once

#include <functional>
#include <utility>

#include "common/environment.h"

namespace millstair {

/// Holds one timer; arming again replaces the earlier one. As a member of the owner it lets the
/// callback use the owner's `this`.
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
