/// Counters, gauges and histograms by name. Updates are atomic, so that decision code and I/O
/// threads can use them; names are registered when a module is created.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace millstair {

/// Monotonic counter. Thread-safe, lock-free.
class Counter {
 public:
  void Add(uint64_t count = 1) { value_.fetch_add(count, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// Holds the latest value. Thread-safe, lock-free.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

/// Histogram of latencies in seconds. Thread-safe, lock-free.
class Histogram {
 public:
  static constexpr std::array<double, 14> kBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                     0.25,  0.5,    1,     2.5,  5,     10,   30};

  void Observe(double seconds) {
    size_t bucket = 0;
    while (bucket < kBounds.size() && seconds > kBounds[bucket]) ++bucket;
    counts_[bucket].fetch_add(1, std::memory_order_relaxed);
    sum_microseconds_.fetch_add(static_cast<uint64_t>(seconds * 1e6), std::memory_order_relaxed);
  }
  /// Number of values in `bucket`: above the previous bound, up to its own. The last has no bound.
  uint64_t count(size_t bucket) const { return counts_[bucket].load(std::memory_order_relaxed); }
  double sum() const {
    return static_cast<double>(sum_microseconds_.load(std::memory_order_relaxed)) * 1e-6;
  }

 private:
  std::array<std::atomic<uint64_t>, kBounds.size() + 1> counts_{};
  std::atomic<uint64_t> sum_microseconds_{0};
};

/// Identity of one time series: "millstair_http_requests_total" with label outcome="ran".
struct StatName {
  std::string name;
  std::string help;
  /// Both empty if the series has no label.
  std::string label;
  std::string label_value;
};

/// One value as read by the metrics page.
struct StatSample {
  StatName name;
  bool counter = false;
  double value = 0;
};

/// A histogram as read by the metrics page; valid as long as the registry.
struct HistogramSample {
  StatName name;
  const Histogram* histogram = nullptr;
};

/// Owns the stats of one node. Registration and reading lock; references stay valid for the
/// lifetime of the registry.
class StatsRegistry {
 public:
  /// The counter with this name and label value, created at the first call.
  Counter& NewCounter(StatName name) { return FindOrAdd(counters_, std::move(name)); }
  Gauge& NewGauge(StatName name) { return FindOrAdd(gauges_, std::move(name)); }

  Histogram& NewHistogram(StatName name) { return FindOrAdd(histograms_, std::move(name)); }

  std::vector<HistogramSample> ReadHistograms() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<HistogramSample> samples;
    for (const auto& entry : histograms_) samples.push_back({entry.name, &entry.stat});
    return samples;
  }

  /// All counters, then all gauges, each in the order of registration.
  std::vector<StatSample> Read() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<StatSample> samples;
    for (const auto& entry : counters_) {
      samples.push_back({entry.name, true, static_cast<double>(entry.stat.value())});
    }
    for (const auto& entry : gauges_) samples.push_back({entry.name, false, entry.stat.value()});
    return samples;
  }

 private:
  template <class Stat>
  struct Entry {
    explicit Entry(StatName stat_name) : name(std::move(stat_name)) {}
    StatName name;
    Stat stat;
  };

  template <class Stat>
  Stat& FindOrAdd(std::deque<Entry<Stat>>& entries, StatName name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (Entry<Stat>& entry : entries) {
      if (entry.name.name == name.name && entry.name.label_value == name.label_value) {
        return entry.stat;
      }
    }
    return entries.emplace_back(std::move(name)).stat;
  }

  mutable std::mutex mutex_;
  std::deque<Entry<Counter>> counters_;
  std::deque<Entry<Gauge>> gauges_;
  std::deque<Entry<Histogram>> histograms_;
};

}  // namespace millstair
