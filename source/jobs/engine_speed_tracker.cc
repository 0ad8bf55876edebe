#include "jobs/engine_speed_tracker.h"

#include <algorithm>
#include <vector>

namespace millstair {
namespace {

constexpr double kSmoothing = 0.1;
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

}  // namespace

void EngineSpeedTracker::RecordInterval(const InstanceId& instance, Duration gap) {
  if (seconds_.size() >= kMaxTrackedEngines && !seconds_.contains(instance)) Clear();
  silences_.erase(instance);
  const double seconds = ToSeconds(gap);
  const auto [known, added] = seconds_.try_emplace(instance, seconds);
  if (added) return;
  double weight = kSmoothing;
  const auto unconfirmed = unconfirmed_.find(instance);
  if (unconfirmed != unconfirmed_.end()) {
    weight = 1.0 / static_cast<double>(++unconfirmed->second);
    if (unconfirmed->second >= kConfirmingIntervals) unconfirmed_.erase(unconfirmed);
  }
  known->second += weight * (seconds - known->second);
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
  for (const auto& [instance, pace] : seconds_) unconfirmed_[instance] = 0;
  Recompute();
}

void EngineSpeedTracker::RemoveUnless(const std::function<bool(const InstanceId&)>& exists) {
  std::erase_if(seconds_, [&exists](const auto& entry) { return !exists(entry.first); });
  std::erase_if(silences_, [&exists](const auto& entry) { return !exists(entry.first); });
  std::erase_if(unconfirmed_, [&exists](const auto& entry) { return !exists(entry.first); });
}

void EngineSpeedTracker::Clear() {
  seconds_.clear();
  slow_.clear();
  unconfirmed_.clear();
  silences_.clear();
  typical_seconds_ = kAssumedSeconds;
  fastest_seconds_ = kAssumedSeconds;
}

double EngineSpeedTracker::SecondsPerEvent(const InstanceId& instance) const {
  const double measured = MeasuredSecondsPerEvent(instance);
  const auto silent = silences_.find(instance);
  return silent == silences_.end() ? measured : std::max(measured, silent->second.seconds);
}

double EngineSpeedTracker::MeasuredSecondsPerEvent(const InstanceId& instance) const {
  const auto known = seconds_.find(instance);
  return known == seconds_.end() ? typical_seconds_ : known->second;
}

void EngineSpeedTracker::Recompute() {
  slow_.clear();
  if (seconds_.empty()) return;
  std::vector<double> values;
  values.reserve(seconds_.size());
  for (const auto& [instance, seconds] : seconds_) values.push_back(seconds);
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  typical_seconds_ = *middle;
  fastest_seconds_ = *std::min_element(values.begin(), values.end());
  if (seconds_.size() < kMinComparedEngines) return;
  for (const auto& [instance, seconds] : seconds_) {
    if (SecondsPerEvent(instance) > kSlowFactor * *middle) slow_.insert(instance);
  }
}

}  // namespace millstair
