/// Excludes a back end for a while after consecutive failures, each time for longer.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace millstair {

struct EjectionOptions {
  /// Consecutive failures that eject a back end.
  uint32_t failures = 3;
  Duration first = std::chrono::seconds(1);
  Duration max_duration = std::chrono::seconds(30);
};

class OutlierEjection {
 public:
  explicit OutlierEjection(EjectionOptions options = {}) : options_(options) {}

  void RecordSuccess() {
    failures_ = 0;
    if (ejections_ > 0) --ejections_;
  }
  /// A call failed; `unreachable` ones (nothing could be sent) count double.
  void RecordFailure(TimePoint now, bool unreachable) {
    failures_ += unreachable ? 2 : 1;
    if (failures_ >= options_.failures || Ejected(now)) Eject(now);
  }
  /// Excludes the back end regardless of its failures. An ejection in force is not extended.
  void Eject(TimePoint now) {
    latest_ = now;
    if (Ejected(now)) return;
    Duration span = options_.first;
    for (uint32_t i = 0; i < ejections_ && span < options_.max_duration; ++i) span *= 2;
    until_ = now + std::min(span, options_.max_duration);
    ++ejections_;
    failures_ = 0;
  }
  /// The back end is known to be healthy again.
  void Readmit() {
    failures_ = 0;
    until_ = TimePoint();
  }

  bool Ejected(TimePoint now) const { return now < until_; }
  /// End of the latest ejection; the epoch if there was none.
  TimePoint until() const { return until_; }
  /// Time of the latest ejection, or of a later failure during it; the epoch if there was none.
  TimePoint latest() const { return latest_; }

 private:
  EjectionOptions options_;
  uint32_t failures_ = 0;
  uint32_t ejections_ = 0;
  TimePoint until_;
  TimePoint latest_;
};

}  // namespace millstair
