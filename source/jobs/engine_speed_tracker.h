/// How fast each engine makes events, against the others: long texts belong at fast engines, one
/// far behind the others gets work last, and what runs there may be moved.
#pragma once

#include <map>
#include <set>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class EngineSpeedTracker {
 public:
  /// Two events of one run at `instance` came `gap` apart.
  void RecordInterval(const InstanceId& instance, Duration gap);
  void Clear();
  /// Judges all engines anew; `IsSlow` and `TypicalSeconds` tell what this found.
  void Recompute();
  /// Whether its events come far slower than those of most engines.
  bool IsSlow(const InstanceId& instance) const { return slow_.contains(instance); }
  /// Expected time between two events at `instance`; the typical one if it is unknown.
  double SecondsPerEvent(const InstanceId& instance) const;
  /// The median over the engines; an assumed time before any is known.
  double TypicalSeconds() const { return typical_seconds_; }
  /// Of the fastest engine.
  double FastestSeconds() const { return fastest_seconds_; }

 private:
  /// Assumed before anything was seen: the order of magnitude of an event of some ten tokens.
  static constexpr double kAssumedSeconds = 0.03;

  /// Smoothed time between two events, in seconds.
  std::map<InstanceId, double> seconds_;
  double typical_seconds_ = kAssumedSeconds;
  double fastest_seconds_ = kAssumedSeconds;
  std::set<InstanceId> slow_;
};

}  // namespace millstair
