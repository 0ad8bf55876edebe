/// Tracks how fast each engine makes events relative to the others: long texts go to fast engines,
/// slow engines get work last, and their runs may be moved.
#pragma once

#include <map>
#include <set>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class EngineSpeedTracker {
 public:
  /// Records the time between two events of one run at `instance`.
  void RecordInterval(const InstanceId& instance, Duration gap);
  void Clear();
  /// Updates the results of `IsSlow`, `TypicalSeconds` and `FastestSeconds`.
  void Recompute();
  /// Whether its events arrive far slower than those of most engines.
  bool IsSlow(const InstanceId& instance) const { return slow_.contains(instance); }
  /// Expected time between two events at `instance`; the typical time if unknown.
  double SecondsPerEvent(const InstanceId& instance) const;
  /// Median over the engines; a default before the first event.
  double TypicalSeconds() const { return typical_seconds_; }
  double FastestSeconds() const { return fastest_seconds_; }

 private:
  /// Default for an event of about ten tokens.
  static constexpr double kAssumedSeconds = 0.03;

  /// Smoothed time between two events.
  std::map<InstanceId, double> seconds_;
  double typical_seconds_ = kAssumedSeconds;
  double fastest_seconds_ = kAssumedSeconds;
  std::set<InstanceId> slow_;
};

}  // namespace millstair
