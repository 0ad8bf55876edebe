/// Open-loop schedule: work begins when it is due, whether or not earlier work has ended.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "bench/load/run_clock.h"

namespace millstair {

/// Due times from `begin`, with exponential gaps of the given rate (per second), for `length`.
std::vector<Duration> PoissonArrivals(double per_second, Duration begin, Duration length,
                                      uint64_t seed);

/// Calls `work(index)` for each due time on one of `threads` threads and waits for all. When every
/// thread is busy, work begins late; its latency must be taken from the due time, so that a slow
/// server does not hide the requests that it held up. Stops early when `stopped` says so.
void RunOpenLoop(const RunClock& clock, const std::vector<Duration>& due, int threads,
                 const std::function<void(size_t index)>& work,
                 const std::function<bool()>& stopped);

}  // namespace millstair
