/// Models an engine's step time as a function of the sequences in its batch.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace millstair {

/// Least squares with exponential forgetting over (sequences, step time) samples from engine
/// reports.
class StepTimeModel {
 public:
  void Add(double sequences, Duration step_time) {
    const double seconds = ToSeconds(step_time);
    if (seconds <= 0) return;
    const double x = std::max(1.0, sequences);
    weight_ = weight_ * kDecay + 1;
    x_ = x_ * kDecay + x;
    y_ = y_ * kDecay + seconds;
    xx_ = xx_ * kDecay + x * x;
    xy_ = xy_ * kDecay + x * seconds;
    Fit();
  }

  /// Discards all samples, after the engine restarted.
  void Reset() { *this = StepTimeModel(); }

  bool known() const { return weight_ > 0; }
  /// Expected step time in seconds with `sequences` in the batch.
  double Seconds(double sequences) const {
    if (!known()) return kUnknownSeconds;
    return base_ + slope_ * std::max(1.0, sequences);
  }

 private:
  static constexpr double kDecay = 0.98;
  /// Used while there are no samples.
  static constexpr double kUnknownSeconds = 0.03;
  /// Below this variance of the sequences the slope can't be fitted; kDefaultSlopeShare of the mean
  /// is used.
  static constexpr double kMinVariance = 1.0;
  static constexpr double kDefaultSlopeShare = 0.01;

  void Fit() {
    const double mean_x = x_ / weight_;
    const double mean_y = y_ / weight_;
    const double variance = xx_ / weight_ - mean_x * mean_x;
    slope_ = mean_y * kDefaultSlopeShare;
    if (variance >= kMinVariance) slope_ = (xy_ / weight_ - mean_x * mean_y) / variance;
    slope_ = std::clamp(slope_, 0.0, mean_y / mean_x);
    base_ = mean_y - slope_ * mean_x;
  }

  double weight_ = 0;
  double x_ = 0;
  double y_ = 0;
  double xx_ = 0;
  double xy_ = 0;
  double base_ = 0;
  double slope_ = 0;
};

}  // namespace millstair
