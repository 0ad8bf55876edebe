/// The send rate limits of one gateway, one per back end.
#pragma once

#include <map>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "ingress/backend_directory.h"
#include "limits/recent_minimum.h"
#include "limits/send_rate_limit.h"

namespace millstair {

/// Logs when a limit takes effect or ends, and counts the limits in force. Lives on the node's
/// serial executor.
class BackendLimits {
 public:
  /// `directory` outlives the limits; `stats` may be null.
  BackendLimits(Environment& environment, const BackendDirectory& directory, StatsRegistry* stats);

  /// The limit of `instance`. A back end that was not seen before has none in force.
  SendRateLimit& Of(const InstanceId& instance);
  bool Limited(const InstanceId& instance) const;
  bool AnyLimited() const;
  /// Returns a send that was taken from the limit of `instance` and not used.
  void Return(const InstanceId& instance);

  /// How long a response of `instance` may take before it counts as late: the target, less of it
  /// while a limit is in force so that requests have time to wait for their send, or longer if
  /// even its fastest recent responses come close to the target. A service that is slow without
  /// load is not overloaded.
  Duration LateAfter(const InstanceId& instance, Duration target);

  /// Record how a request ended that was sent to `instance`.
  void RecordResponse(const InstanceId& instance, Duration elapsed);
  void RecordInTime(const InstanceId& instance);
  void RecordLate(const InstanceId& instance);
  /// A response was late by `excess`.
  void RecordBacklog(const InstanceId& instance, Duration excess);
  void RecordRefused(const InstanceId& instance);

 private:
  struct Entry {
    explicit Entry(TimePoint now);
    SendRateLimit limit;
    RecentMinimum fastest;
  };

  Entry& EntryOf(const InstanceId& instance);
  void OnChange(const InstanceId& instance, const SendRateLimit::Change& change);
  /// Drops the limits of back ends that accept no new work.
  void ForgetEnded();
  void EndCalm();
  void ArmEnd();
  void UpdateGauge();

  Environment& environment_;
  const BackendDirectory& directory_;
  Gauge* const gauge_;
  std::map<InstanceId, Entry> limits_;
  ScopedTimer end_timer_;
};

}  // namespace millstair
