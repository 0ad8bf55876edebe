/// Tracks how fast each engine makes events relative to the others: long texts go to fast engines,
/// slow engines get work last, and their runs may be moved.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class EngineSpeedTracker {
 public:
  /// Records the time between two events of one run at `instance`.
  void RecordInterval(const InstanceId& instance, Duration gap);
  /// No run at `instance` has received an event for `silence`, though at least one received its
  /// first event. If that is far longer than its events take, it counts as its time between two
  /// events until the next interval is recorded or the silence expires.
  void RecordSilence(const InstanceId& instance, Duration silence);
  /// Forgets the silence of engines for which `has_run` has not held for some seconds, so that they
  /// get work again. Called periodically.
  void ExpireSilences(const std::function<bool(const InstanceId&)>& has_run, TimePoint now);
  void Clear();
  /// Starts with the paces that an earlier leader measured, in seconds per event. They are
  /// unconfirmed: the first intervals of an engine replace its pace.
  void Restore(const std::map<InstanceId, double>& seconds);
  /// Forgets the engines that `exists` does not hold for.
  void RemoveUnless(const std::function<bool(const InstanceId&)>& exists);
  /// Smoothed seconds between two events, of all engines with an interval and restored ones.
  const std::map<InstanceId, double>& known_seconds() const { return seconds_; }
  /// Updates the results of `IsSlow`, `TypicalSeconds` and `FastestSeconds`.
  void Recompute();
  /// Whether its events arrive far slower than those of most engines.
  bool IsSlow(const InstanceId& instance) const { return slow_.contains(instance); }
  /// Expected time between two events at `instance`; the typical time if unknown.
  double SecondsPerEvent(const InstanceId& instance) const;
  /// The same without silences.
  double MeasuredSecondsPerEvent(const InstanceId& instance) const;
  /// Median over the engines; a default before the first event.
  double TypicalSeconds() const { return typical_seconds_; }
  double FastestSeconds() const { return fastest_seconds_; }

 private:
  /// Default for an event of about ten tokens.
  static constexpr double kAssumedSeconds = 0.03;

  struct Silence {
    /// Longest time without an event.
    double seconds = 0;
    /// Time since which it has no run; none while it has one.
    std::optional<TimePoint> idle_since;
  };

  std::map<InstanceId, Silence> silences_;
  /// Smoothed time between two events.
  std::map<InstanceId, double> seconds_;
  double typical_seconds_ = kAssumedSeconds;
  double fastest_seconds_ = kAssumedSeconds;
  std::set<InstanceId> slow_;
  /// Restored engines, with the number of intervals recorded since.
  std::map<InstanceId, size_t> unconfirmed_;
};

}  // namespace millstair
