#include "weights/store_pace.h"

#include <algorithm>

namespace millstair {

void StorePace::SetRate(TimePoint now, double bytes_per_second, double version_bytes) {
  if (started_) Fill(now);
  rate_ = bytes_per_second;
  version_bytes_ = version_bytes;
  if (!started_) tokens_ = version_bytes;
  started_ = true;
  filled_at_ = now;
}

void StorePace::Fill(TimePoint now) {
  tokens_ = std::min(tokens_ + rate_ * ToSeconds(now - filled_at_), version_bytes_);
  filled_at_ = now;
}

bool StorePace::TakeVersion(TimePoint now) {
  if (rate_ <= 0 || version_bytes_ <= 0) return true;
  Fill(now);
  // A rounding error must not cost a whole further wait.
  constexpr double kWhole = 0.999;
  if (tokens_ < kWhole * version_bytes_) return false;
  tokens_ -= version_bytes_;
  return true;
}

}  // namespace millstair
