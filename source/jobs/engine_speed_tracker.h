/// Tracks how fast each engine makes events relative to the others: long texts go to fast engines,
/// slow engines get work last, and their runs may be moved.
///
/// Engines share their machines with other work, which slows them down for some hundred
/// milliseconds at a time. With `separates_bursts`, such a burst is told apart from a lasting
/// change: the present pace is expected to last only as long as it has lasted so far, and the usual
/// pace of the last seconds to follow.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Expected pace of an engine, in seconds per event: `recent` for the next `recent_lasts_seconds`,
/// `usual` afterwards.
struct PaceForecast {
  double recent = 0;
  double usual = 0;
  double recent_lasts_seconds = 0;

  /// Expected mean time of each of the next `events` events.
  double SecondsPerEvent(double events) const;
};

/// Lives on the node's serial executor.
class EngineSpeedTracker {
 public:
  explicit EngineSpeedTracker(bool separates_bursts = false)
      : separates_bursts_(separates_bursts) {}

  /// Records the time between two events of one run at `instance`.
  void RecordInterval(const InstanceId& instance, Duration gap, TimePoint now);
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
  /// Smoothed seconds between two events, of all engines with an interval and restored ones: those
  /// of the last seconds if bursts are separated.
  std::map<InstanceId, double> known_seconds() const;
  /// Updates the results of `Forecast`, `SecondsPerEvent`, `IsSlow`, `TypicalSeconds` and
  /// `FastestSeconds`.
  void Recompute(TimePoint now);
  /// Whether its events arrive far slower than those of most engines.
  bool IsSlow(const InstanceId& instance) const { return slow_.contains(instance); }
  /// Expected pace of `instance`; the typical one if unknown.
  PaceForecast Forecast(const InstanceId& instance) const;
  /// Expected time between two events of a text of common length.
  double SecondsPerEvent(const InstanceId& instance) const;
  /// The same without silences.
  double MeasuredSecondsPerEvent(const InstanceId& instance) const;
  /// Median over the engines; a default before the first event.
  double TypicalSeconds() const { return typical_seconds_; }
  double FastestSeconds() const { return fastest_seconds_; }

 private:
  /// Default for an event of about ten tokens.
  static constexpr double kAssumedSeconds = 0.03;

  /// A recent pace that is not the usual one.
  struct PaceDifference {
    bool slower = false;
    TimePoint since;
  };
  struct UsualPace {
    /// Sum and number of the intervals, both decayed over seconds: their ratio is the same for one
    /// run and for many, and for intervals that arrive together after a pause.
    double seconds_sum = 0;
    double intervals = 0;
    TimePoint recorded_at;
    std::optional<PaceDifference> difference;

    double SecondsPerEvent() const { return intervals > 0 ? seconds_sum / intervals : 0; }
  };

  void RecordUsual(const InstanceId& instance, double seconds, TimePoint now);
  /// The pace over seconds if bursts are separated, otherwise `recent`.
  double UsualSeconds(const InstanceId& instance, double recent) const;
  static void UpdateDifference(UsualPace& usual, double recent, TimePoint now);

  struct Silence {
    /// Longest time without an event.
    double seconds = 0;
    /// Time since which it has no run; none while it has one.
    std::optional<TimePoint> idle_since;
  };

  /// The pace without silences.
  PaceForecast MeasuredForecast(const InstanceId& instance) const;

  const bool separates_bursts_;
  /// Smoothed time between two events, over a few of them.
  std::map<InstanceId, double> seconds_;
  /// Empty unless bursts are separated.
  std::map<InstanceId, UsualPace> usual_;
  std::map<InstanceId, Silence> silences_;
  TimePoint recomputed_at_;
  double typical_seconds_ = kAssumedSeconds;
  double fastest_seconds_ = kAssumedSeconds;
  std::set<InstanceId> slow_;
  /// Restored engines, with the number of intervals recorded since.
  std::map<InstanceId, size_t> unconfirmed_;
};

}  // namespace millstair
