/// Adaptive limit on concurrent requests to one back end, based on measured latency.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace millstair {

struct ConcurrencyLimitOptions {
  double initial = 4;
  double min_limit = 1;
  double max_limit = 512;
  /// Ratio of latency to unloaded latency above which the limit shrinks.
  double tolerance = 1.5;
};

/// Gradient control: the limit is scaled by the ratio of unloaded to recent latency, plus headroom
/// for a short queue. A failure cuts it by a fixed factor. The unloaded latency is the minimum
/// of the last and the current window of samples. Each window begins with half the limit, since a
/// standing queue would hide the unloaded latency.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

  /// A request finished after `latency` while `outstanding` were in progress.
  void RecordLatency(Duration latency, uint32_t outstanding);
  /// A request was refused, interrupted or timed out.
  void RecordFailure();
  /// Discards the measured latency, after the back end restarted or changed its weights.
  void Reset();

  uint32_t limit() const { return static_cast<uint32_t>(limit_); }
  /// Measured latency without load; 0 if unknown.
  Duration unloaded_latency() const { return FromSeconds(unloaded_seconds_); }

 private:
  void UpdateUnloaded(double seconds);

  ConcurrencyLimitOptions options_;
  double limit_;
  double unloaded_seconds_ = 0;
  double recent_seconds_ = 0;
  /// Minimum latency and number of samples of the current window.
  double window_min_seconds_ = 0;
  uint32_t window_samples_ = 0;
};

}  // namespace millstair
