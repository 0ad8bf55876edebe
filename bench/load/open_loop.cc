#include "bench/load/open_loop.h"

#include <atomic>
#include <random>
#include <thread>

namespace millstair {

std::vector<Duration> PoissonArrivals(double per_second, Duration begin, Duration length,
                                      uint64_t seed) {
  std::vector<Duration> due;
  if (per_second <= 0) return due;
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second);
  double at = gap(random);
  while (FromSeconds(at) < length) {
    due.push_back(begin + FromSeconds(at));
    at += gap(random);
  }
  return due;
}

void RunOpenLoop(const RunClock& clock, const std::vector<Duration>& due, int threads,
                 const std::function<void(size_t index)>& work,
                 const std::function<bool()>& stopped) {
  std::atomic<size_t> next{0};
  const auto run = [&] {
    for (size_t index = next++; index < due.size(); index = next++) {
      clock.SleepUntil(due[index]);
      if (stopped()) return;
      work(index);
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(static_cast<size_t>(threads));
  for (int i = 0; i < threads; ++i) workers.emplace_back(run);
  for (std::thread& worker : workers) worker.join();
}

}  // namespace millstair
