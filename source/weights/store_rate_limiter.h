/// Limits staging to the gateway's share of the weight store's rate.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace millstair {

/// Token bucket over bytes. Value type; `now` is the time of the node's environment.
class StoreRateLimiter {
 public:
  /// No limit if `bytes_per_second` or `version_bytes` is 0. The bucket holds one version.
  void SetRate(TimePoint now, double bytes_per_second, double version_bytes);
  /// Takes the bytes of one version; false if not enough are available yet.
  bool TryAcquireVersion(TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double version_bytes_ = 0;
  double tokens_ = 0;
  TimePoint refilled_at_;
  bool started_ = false;
};

}  // namespace millstair
