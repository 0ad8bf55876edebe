/// Open-loop schedule: work starts at its due time, whether or not earlier work has ended.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "bench/load/run_clock.h"

namespace millstair {

/// Due times from `begin`, with exponential gaps of the given rate (per second), for `length`.
std::vector<Duration> PoissonArrivals(double per_second, Duration begin, Duration length,
                                      uint64_t seed);

/// Calls `work(index)` at each due time on one of `threads` threads and waits for all. Work starts
/// late when all threads are busy: measure latency from the due time to avoid coordinated omission.
/// Returns early once `stopped` returns true.
void RunOpenLoop(const RunClock& clock, const std::vector<Duration>& due, int threads,
                 const std::function<void(size_t index)>& work,
                 const std::function<bool()>& stopped);

}  // namespace millstair
