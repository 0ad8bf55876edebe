/// Counts the started requests on a gateway and submits them as numbered reports.
///
/// A request belongs to the window of its start in the cluster's agreed time. The gateway queries
/// that time at intervals and advances it with its own steady clock, so jumps of its wall clock
/// have no effect. Requests counted before the time is known are reported later.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "metering/usage_types.h"

namespace millstair {

struct UsageCounterOptions {
  NodeId gateway;
  Incarnation incarnation;
  /// Length of a window; 0 disables counting.
  Duration window{0};
};

/// Lives on the node's serial executor.
class UsageCounter {
 public:
  /// Submits a report for commit. `done` gets whether it was committed; false means that the
  /// outcome is unknown.
  using Submit = std::function<void(const UsageReport&, std::function<void(bool)> done)>;
  /// Queries the agreed time and sends the node's own wall time; nullopt if it is not known.
  using QueryTime = std::function<void(WallTime own, std::function<void(std::optional<WallTime>)>)>;

  UsageCounter(Environment& environment, UsageCounterOptions options, Submit submit, QueryTime ask);

  void Start();
  /// A request of `tenant` started at `at`. Requests without a tenant are not metered.
  void OnRequestStarted(const TenantName& tenant, TimePoint at);
  /// The node is leaving: counts are reported without the usual delay from now on.
  void SetLeaving();

  /// Counted requests that are not known to be committed.
  size_t uncommitted() const;

 private:
  struct StartedRequest {
    TenantName tenant;
    TimePoint at;
  };

  void QueryAgreedTime();
  void OnAgreedTime(std::optional<WallTime> agreed, TimePoint sent_at);
  void ScheduleReport();
  void Report();
  void Send();
  UsageReport NextReport();

  Environment& environment_;
  const UsageCounterOptions options_;
  const Submit submit_;
  const QueryTime query_time_;
  /// Agreed time minus this node's steady time.
  std::optional<Duration> offset_;
  /// Counted requests that are in no report yet.
  std::vector<StartedRequest> unreported_;
  /// The report being committed.
  std::optional<UsageReport> report_;
  uint64_t sequence_ = 0;
  bool leaving_ = false;
  ScopedTimer time_timer_;
  ScopedTimer report_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
