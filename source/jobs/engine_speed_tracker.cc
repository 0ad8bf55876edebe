#include "jobs/engine_speed_tracker.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace millstair {
namespace {

constexpr double kSmoothing = 0.1;
/// The same if bursts are separated: the recent pace then has to show a change within a few events,
/// and its noise matters less, since forecasts use the usual pace for most of a text.
constexpr double kRecentSmoothing = 0.25;
/// An engine whose events take this much longer than the median is slow.
constexpr double kSlowFactor = 2.0;
/// With fewer engines the median does not identify the slow one.
constexpr size_t kMinComparedEngines = 3;
/// The tracker is cleared when it reaches this number of engines.
constexpr size_t kMaxTrackedEngines = 10'000;
/// An engine that sends no event for this many usual intervals is silent. It reads a few prompts of
/// new runs in this time.
constexpr double kSilentIntervals = 6;
/// Longer than delays of the network and the pauses of a process on a busy machine.
constexpr double kMinSilentSeconds = 0.15;
/// Time without a run after which an engine that was silent gets work again: without runs, no event
/// can show that it answers.
constexpr Duration kSilenceLifetime = std::chrono::seconds(5);
/// A restored pace is replaced by the mean of the first intervals, until their number gives each
/// new one the weight of the smoothing.
constexpr size_t kConfirmingIntervals = 10;
/// Time over which the usual pace is smoothed: the length of several bursts, and short enough to
/// follow an engine that is slow for seconds.
constexpr double kUsualPeriodSeconds = 3;
/// A pause without intervals decays the usual pace as this at most, and ends a difference: nothing
/// was seen meanwhile.
constexpr double kMaxPauseSeconds = 1;
/// Number of intervals that a restored pace counts for.
constexpr double kRestoredIntervals = 5;
/// A difference begins at the first factor between recent and usual pace, since smaller ones are
/// noise, and ends at the second: the usual pace approaches the recent one while it lasts.
constexpr double kDifferenceBegins = 1.4;
constexpr double kDifferenceEnds = 1.15;
/// Length of a common text, for forecasts that concern no particular one.
constexpr double kCommonEvents = 20;

/// Factor between two paces, at least 1.
double FactorBetween(double a, double b) { return a > b ? a / b : b / a; }

}  // namespace

double PaceForecast::SecondsPerEvent(double events) const {
  if (recent_lasts_seconds <= 0 || events <= 0) return usual;
  const double recent_events = recent_lasts_seconds / recent;
  if (events <= recent_events) return recent;
  return (recent_lasts_seconds + (events - recent_events) * usual) / events;
}

void EngineSpeedTracker::RecordInterval(const InstanceId& instance, Duration gap, TimePoint now) {
  if (seconds_.size() >= kMaxTrackedEngines && !seconds_.contains(instance)) Clear();
  silences_.erase(instance);
  const double seconds = ToSeconds(gap);
  const auto [known, added] = seconds_.try_emplace(instance, seconds);
  if (!added) {
    double weight = separates_bursts_ ? kRecentSmoothing : kSmoothing;
    const auto unconfirmed = unconfirmed_.find(instance);
    if (unconfirmed != unconfirmed_.end()) {
      weight = 1.0 / static_cast<double>(++unconfirmed->second);
      if (unconfirmed->second >= kConfirmingIntervals) unconfirmed_.erase(unconfirmed);
    }
    known->second += weight * (seconds - known->second);
  }
  if (separates_bursts_) RecordUsual(instance, seconds, now);
}

void EngineSpeedTracker::RecordUsual(const InstanceId& instance, double seconds, TimePoint now) {
  UsualPace& usual = usual_[instance];
  const double pause = ToSeconds(now - usual.recorded_at);
  const double decay = std::exp(-std::min(pause, kMaxPauseSeconds) / kUsualPeriodSeconds);
  usual.seconds_sum = decay * usual.seconds_sum + seconds;
  usual.intervals = decay * usual.intervals + 1;
  if (pause > kMaxPauseSeconds) usual.difference.reset();
  usual.recorded_at = now;
  UpdateDifference(usual, seconds_.at(instance), now);
}

void EngineSpeedTracker::UpdateDifference(UsualPace& usual, double recent, TimePoint now) {
  const double usual_seconds = usual.SecondsPerEvent();
  if (recent <= 0 || usual_seconds <= 0) return usual.difference.reset();
  const bool slower = recent > usual_seconds;
  if (usual.difference && usual.difference->slower != slower) usual.difference.reset();
  const double factor = FactorBetween(recent, usual_seconds);
  if (factor >= kDifferenceBegins && !usual.difference) usual.difference = {slower, now};
  if (factor <= kDifferenceEnds) usual.difference.reset();
}

void EngineSpeedTracker::RecordSilence(const InstanceId& instance, Duration silence) {
  const double seconds = ToSeconds(silence);
  const double usual = kSilentIntervals * MeasuredSecondsPerEvent(instance);
  if (seconds < std::max(usual, kMinSilentSeconds)) return;
  double& longest = silences_[instance].seconds;
  longest = std::max(longest, seconds);
}

void EngineSpeedTracker::ExpireSilences(const std::function<bool(const InstanceId&)>& has_run,
                                        TimePoint now) {
  for (auto& [instance, silence] : silences_) {
    if (has_run(instance)) {
      silence.idle_since.reset();
    } else if (!silence.idle_since) {
      silence.idle_since = now;
    }
  }
  std::erase_if(silences_, [now](const auto& entry) {
    const std::optional<TimePoint>& idle_since = entry.second.idle_since;
    return idle_since && now - *idle_since >= kSilenceLifetime;
  });
}

void EngineSpeedTracker::Restore(const std::map<InstanceId, double>& seconds) {
  Clear();
  seconds_ = seconds;
  for (const auto& [instance, pace] : seconds_) {
    unconfirmed_[instance] = 0;
    if (!separates_bursts_) continue;
    usual_[instance].seconds_sum = kRestoredIntervals * pace;
    usual_[instance].intervals = kRestoredIntervals;
  }
  Recompute(recomputed_at_);
}

void EngineSpeedTracker::RemoveUnless(const std::function<bool(const InstanceId&)>& exists) {
  std::erase_if(seconds_, [&exists](const auto& entry) { return !exists(entry.first); });
  std::erase_if(usual_, [&exists](const auto& entry) { return !exists(entry.first); });
  std::erase_if(silences_, [&exists](const auto& entry) { return !exists(entry.first); });
  std::erase_if(unconfirmed_, [&exists](const auto& entry) { return !exists(entry.first); });
}

void EngineSpeedTracker::Clear() {
  seconds_.clear();
  usual_.clear();
  slow_.clear();
  unconfirmed_.clear();
  silences_.clear();
  typical_seconds_ = kAssumedSeconds;
  fastest_seconds_ = kAssumedSeconds;
}

std::map<InstanceId, double> EngineSpeedTracker::known_seconds() const {
  std::map<InstanceId, double> known;
  for (const auto& [instance, recent] : seconds_) {
    known.emplace(instance, UsualSeconds(instance, recent));
  }
  return known;
}

double EngineSpeedTracker::UsualSeconds(const InstanceId& instance, double recent) const {
  const auto usual = usual_.find(instance);
  return usual == usual_.end() ? recent : usual->second.SecondsPerEvent();
}

PaceForecast EngineSpeedTracker::MeasuredForecast(const InstanceId& instance) const {
  const auto known = seconds_.find(instance);
  if (known == seconds_.end()) return {typical_seconds_, typical_seconds_, 0};
  const auto usual = usual_.find(instance);
  if (usual == usual_.end()) return {known->second, known->second, 0};
  PaceForecast forecast{known->second, usual->second.SecondsPerEvent(), 0};
  if (!usual->second.difference) return forecast;
  // What was seen for some time is expected to last for as long again.
  const Duration seen = usual->second.recorded_at - usual->second.difference->since;
  const Duration unseen = recomputed_at_ - usual->second.recorded_at;
  forecast.recent_lasts_seconds = ToSeconds(std::max(seen - unseen, Duration(0)));
  return forecast;
}

PaceForecast EngineSpeedTracker::Forecast(const InstanceId& instance) const {
  const PaceForecast measured = MeasuredForecast(instance);
  const auto silent = silences_.find(instance);
  if (silent == silences_.end()) return measured;
  // Nothing tells when it answers again.
  const double seconds = std::max(measured.SecondsPerEvent(kCommonEvents), silent->second.seconds);
  return {seconds, seconds, 0};
}

double EngineSpeedTracker::SecondsPerEvent(const InstanceId& instance) const {
  return Forecast(instance).SecondsPerEvent(kCommonEvents);
}

double EngineSpeedTracker::MeasuredSecondsPerEvent(const InstanceId& instance) const {
  return MeasuredForecast(instance).SecondsPerEvent(kCommonEvents);
}

void EngineSpeedTracker::Recompute(TimePoint now) {
  recomputed_at_ = now;
  slow_.clear();
  if (seconds_.empty()) return;
  std::vector<double> values;
  values.reserve(seconds_.size());
  for (const auto& [instance, recent] : seconds_) values.push_back(UsualSeconds(instance, recent));
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  typical_seconds_ = *middle;
  fastest_seconds_ = *std::min_element(values.begin(), values.end());
  if (seconds_.size() < kMinComparedEngines) return;
  for (const auto& [instance, recent] : seconds_) {
    if (SecondsPerEvent(instance) > kSlowFactor * typical_seconds_) slow_.insert(instance);
  }
}

}  // namespace millstair
