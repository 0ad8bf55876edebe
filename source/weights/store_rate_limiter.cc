#include "weights/store_rate_limiter.h"

#include <algorithm>

namespace millstair {

void StoreRateLimiter::SetRate(TimePoint now, double bytes_per_second, double version_bytes) {
  if (started_) Refill(now);
  rate_ = bytes_per_second;
  version_bytes_ = version_bytes;
  if (!started_) tokens_ = version_bytes;
  started_ = true;
  refilled_at_ = now;
}

void StoreRateLimiter::Refill(TimePoint now) {
  tokens_ = std::min(tokens_ + rate_ * ToSeconds(now - refilled_at_), version_bytes_);
  refilled_at_ = now;
}

bool StoreRateLimiter::TryAcquireVersion(TimePoint now) {
  if (rate_ <= 0 || version_bytes_ <= 0) return true;
  Refill(now);
  // A rounding error must not cause another wait.
  constexpr double kMinFillFraction = 0.999;
  if (tokens_ < kMinFillFraction * version_bytes_) return false;
  tokens_ -= version_bytes_;
  return true;
}

}  // namespace millstair
