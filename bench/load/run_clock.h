/// Time since the start of a run; shared by all threads.
#pragma once

#include <chrono>
#include <thread>

#include "common/time.h"

namespace millstair {

class RunClock {
 public:
  Duration Now() const {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start_);
  }
  void SleepUntil(Duration time) const { std::this_thread::sleep_until(start_ + time); }

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

}  // namespace millstair
