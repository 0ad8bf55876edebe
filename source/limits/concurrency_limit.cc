#include "limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace millstair {
namespace {

/// Weight of a new sample in the recent latency.
constexpr double kRecentSmoothing = 0.2;
/// Samples per window of the unloaded latency.
constexpr uint32_t kWindowSamples = 200;
constexpr double kProbeShare = 0.5;
/// Weight of a new limit.
constexpr double kLimitSmoothing = 0.2;
/// Largest cut by one sample.
constexpr double kMinGradient = 0.5;
constexpr double kFailureCut = 0.9;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : options_(options), limit_(options.initial) {}

void ConcurrencyLimit::RecordLatency(Duration latency, uint32_t outstanding) {
  const double seconds = std::max(1e-6, ToSeconds(latency));
  UpdateUnloaded(seconds);
  recent_seconds_ = recent_seconds_ == 0
                        ? seconds
                        : recent_seconds_ + kRecentSmoothing * (seconds - recent_seconds_);
  const double gradient =
      std::clamp(options_.tolerance * unloaded_seconds_ / recent_seconds_, kMinGradient, 1.0);
  // Don't grow a limit that is not being used.
  const bool in_use = outstanding * 2 >= limit_;
  if (gradient >= 1.0 && !in_use) return;
  const double wanted = limit_ * gradient + std::sqrt(limit_);
  limit_ += kLimitSmoothing * (wanted - limit_);
  limit_ = std::clamp(limit_, options_.min_limit, options_.max_limit);
}

void ConcurrencyLimit::RecordFailure() {
  limit_ = std::max(options_.min_limit, limit_ * kFailureCut);
}

void ConcurrencyLimit::Reset() {
  limit_ = std::min(limit_, options_.initial);
  unloaded_seconds_ = 0;
  recent_seconds_ = 0;
  window_samples_ = 0;
}

void ConcurrencyLimit::UpdateUnloaded(double seconds) {
  const bool first = window_samples_ == 0;
  window_min_seconds_ = first ? seconds : std::min(window_min_seconds_, seconds);
  ++window_samples_;
  const bool lower = unloaded_seconds_ == 0 || seconds < unloaded_seconds_;
  if (lower) unloaded_seconds_ = seconds;
  if (window_samples_ < kWindowSamples) return;
  unloaded_seconds_ = window_min_seconds_;
  window_samples_ = 0;
  limit_ = std::max(options_.min_limit, limit_ * kProbeShare);
}

}  // namespace millstair
