#include "bench/load/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <mutex>

namespace millstair {
namespace {

namespace bh = boost::histogram;

constexpr double kSmallestMs = 0.05;
constexpr double kLargestMs = 1'000'000.0;
constexpr unsigned kBins = 680;

auto MakeBins() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>(kBins, kSmallestMs, kLargestMs));
}

double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

}  // namespace

struct LatencyHistogram::Bins {
  mutable std::mutex mutex;
  decltype(MakeBins()) histogram = MakeBins();
  uint64_t count = 0;
  Duration largest{0};
};

LatencyHistogram::LatencyHistogram() : bins_(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration latency) {
  const std::lock_guard<std::mutex> lock(bins_->mutex);
  bins_->histogram(std::clamp(Milliseconds(latency), kSmallestMs, kLargestMs * 0.999));
  bins_->largest = std::max(bins_->largest, latency);
  ++bins_->count;
}

uint64_t LatencyHistogram::count() const {
  const std::lock_guard<std::mutex> lock(bins_->mutex);
  return bins_->count;
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const std::lock_guard<std::mutex> lock(bins_->mutex);
  const double due = quantile * static_cast<double>(bins_->count);
  double seen = 0;
  for (auto&& bin : bh::indexed(bins_->histogram)) {
    seen += *bin;
    if (*bin == 0 || seen < due) continue;
    return std::min(bins_->largest, FromSeconds(bin.bin().upper() / 1000.0));
  }
  return Duration{0};
}

Duration LatencyHistogram::Largest() const {
  const std::lock_guard<std::mutex> lock(bins_->mutex);
  return bins_->largest;
}

}  // namespace millstair
