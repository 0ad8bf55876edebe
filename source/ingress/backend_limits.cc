#include "ingress/backend_limits.h"

#include <algorithm>

#include "common/event_log.h"

namespace millstair {
namespace {

/// A limit is in force for at least a second, so its end is noticed soon enough.
constexpr Duration kEndCheckInterval = std::chrono::milliseconds(100);

/// A back end whose fastest response took 25 ms is loaded when one takes twice that, but late only
/// beyond the target.
constexpr int kUnloadedFactor = 2;
/// Share of the target that a limited back end may use. The rest is for the wait at the gateway and
/// for the network: with the whole target, a quarter of the responses that the limit counts as in
/// time are late for their callers.
constexpr double kLimitedTargetShare = 0.67;
/// Longer than a usual overload, during which no response may be as fast as without load.
constexpr Duration kUnloadedWindow = std::chrono::seconds(10);

}  // namespace

BackendLimits::Entry::Entry(TimePoint now) : limit(now), fastest(kUnloadedWindow) {}

BackendLimits::BackendLimits(Environment& environment, const BackendDirectory& directory,
                             StatsRegistry* stats)
    : environment_(environment),
      directory_(directory),
      gauge_(stats == nullptr
                 ? nullptr
                 : &stats->NewGauge({"millstair_backend_limits",
                                     "Back ends to which this node limits its sends.", "", ""})),
      end_timer_(environment) {}

SendRateLimit& BackendLimits::Of(const InstanceId& instance) { return EntryOf(instance).limit; }

BackendLimits::Entry& BackendLimits::EntryOf(const InstanceId& instance) {
  const auto found = limits_.find(instance);
  if (found != limits_.end()) return found->second;
  ForgetEnded();
  return limits_.emplace(instance, Entry(environment_.Now())).first->second;
}

Duration BackendLimits::LateAfter(const InstanceId& instance, Duration target) {
  Entry& entry = EntryOf(instance);
  const auto fastest = entry.fastest.Get(environment_.Now());
  if (entry.limit.limited()) target = FromSeconds(kLimitedTargetShare * ToSeconds(target));
  return fastest ? std::max(target, kUnloadedFactor * *fastest) : target;
}

void BackendLimits::RecordResponse(const InstanceId& instance, Duration elapsed) {
  const auto found = limits_.find(instance);
  if (found != limits_.end()) found->second.fastest.Add(elapsed, environment_.Now());
}

bool BackendLimits::Limited(const InstanceId& instance) const {
  const auto found = limits_.find(instance);
  return found != limits_.end() && found->second.limit.limited();
}

bool BackendLimits::AnyLimited() const {
  return std::any_of(limits_.begin(), limits_.end(),
                     [](const auto& entry) { return entry.second.limit.limited(); });
}

void BackendLimits::Return(const InstanceId& instance) {
  const auto found = limits_.find(instance);
  if (found != limits_.end()) found->second.limit.Return(environment_.Now());
}

void BackendLimits::RecordInTime(const InstanceId& instance) {
  const auto found = limits_.find(instance);
  if (found == limits_.end()) return;
  OnChange(instance, found->second.limit.RecordInTime(environment_.Now()));
}

void BackendLimits::RecordLate(const InstanceId& instance) {
  const auto found = limits_.find(instance);
  if (found == limits_.end()) return;
  OnChange(instance, found->second.limit.RecordLate(environment_.Now()));
}

void BackendLimits::RecordBacklog(const InstanceId& instance, Duration excess) {
  const auto found = limits_.find(instance);
  if (found != limits_.end()) found->second.limit.RecordBacklog(environment_.Now(), excess);
}

void BackendLimits::RecordRefused(const InstanceId& instance) {
  const auto found = limits_.find(instance);
  if (found == limits_.end()) return;
  OnChange(instance, found->second.limit.RecordRefused(environment_.Now()));
}

void BackendLimits::OnChange(const InstanceId& instance, const SendRateLimit::Change& change) {
  if (!change) return;
  const EventId event = change->limited ? EventId::kBackendLimited : EventId::kBackendLimitEnded;
  LogEvent(event, "instance={} per_second={:.2f} reason={}", instance, change->per_second,
           SendLimitReasonName(change->reason));
  UpdateGauge();
  if (change->limited) ArmEnd();
}

void BackendLimits::ForgetEnded() {
  std::erase_if(limits_, [this](const auto& entry) {
    if (directory_.FindLive(entry.first) != nullptr) return false;
    if (entry.second.limit.limited()) {
      LogEvent(EventId::kBackendLimitEnded, "instance={} per_second={:.2f} reason=gone",
               entry.first, entry.second.limit.PerSecond(environment_.Now()));
    }
    return true;
  });
  UpdateGauge();
}

void BackendLimits::ArmEnd() {
  if (!end_timer_.armed()) end_timer_.Arm(kEndCheckInterval, [this] { EndCalm(); });
}

void BackendLimits::EndCalm() {
  ForgetEnded();
  bool limited = false;
  for (auto& [instance, entry] : limits_) {
    OnChange(instance, entry.limit.EndIfCalm(environment_.Now()));
    limited = limited || entry.limit.limited();
  }
  if (limited) ArmEnd();
}

void BackendLimits::UpdateGauge() {
  if (gauge_ == nullptr) return;
  gauge_->Set(
      static_cast<double>(std::count_if(limits_.begin(), limits_.end(), [](const auto& entry) {
        return entry.second.limit.limited();
      })));
}

}  // namespace millstair
