/// A gateway's share of the weight store's rate.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace millstair {

/// Token bucket over bytes. Value type; time is that of the node's environment.
class StoreRateLimiter {
 public:
  /// `bytes_per_second` 0 is no limit. The bucket holds at least one version.
  void SetRate(TimePoint now, double bytes_per_second, double version_bytes);
  /// Takes the bytes of one version; false if they are not there yet.
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
