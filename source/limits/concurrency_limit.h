/// Adaptive bound on the concurrent requests of one back end, following measured latency.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace millstair {

struct ConcurrencyLimitOptions {
  double initial = 4;
  double min_limit = 1;
  double max_limit = 512;
  /// Latency may rise to this multiple of the unloaded latency before the limit shrinks.
  double tolerance = 1.5;
};

/// Gradient control: the limit is scaled by unloaded latency over recent latency, plus room for a
/// short queue. A failure cuts it by a fixed share. The unloaded latency is the least of the last
/// windows of samples; each window begins with half the limit, since under a standing queue the
/// unloaded latency would never be seen.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

  /// A request finished after `latency` while `outstanding` were under way.
  void RecordLatency(Duration latency, uint32_t outstanding);
  /// A request was refused, cut or timed out.
  void RecordFailure();
  /// The back end restarted or changed its weights: what was learned of its latency is void.
  void Reset();

  uint32_t limit() const { return static_cast<uint32_t>(limit_); }
  /// Latency without load as learned so far; 0 if unknown.
  Duration unloaded_latency() const { return FromSeconds(unloaded_seconds_); }

 private:
  void UpdateUnloaded(double seconds);

  ConcurrencyLimitOptions options_;
  double limit_;
  double unloaded_seconds_ = 0;
  double recent_seconds_ = 0;
  /// Least latency of the window under way, and its samples so far.
  double window_min_seconds_ = 0;
  uint32_t window_samples_ = 0;
};

}  // namespace millstair
