/// Counts, on a gateway, the requests that began to run, and hands them on as numbered reports.
///
/// A request is placed in its window by the cluster's agreed time: the gateway asks for it now and
/// then and counts on by its own steady clock, so that a jump of its wall clock changes nothing.
/// What was counted before the time is known waits.
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
  /// Length of a window; 0 counts nothing.
  Duration window{0};
};

/// Lives on the node's serial executor.
class UsageCounter {
 public:
  /// Has a report committed; `done` tells whether it is, and false leaves it unknown.
  using Submit = std::function<void(const UsageReport&, std::function<void(bool)> done)>;
  /// Asks for the agreed time, telling the own wall time; none if it is not known now.
  using QueryTime = std::function<void(WallTime own, std::function<void(std::optional<WallTime>)>)>;

  UsageCounter(Environment& environment, UsageCounterOptions options, Submit submit, QueryTime ask);

  void Start();
  /// A request of `tenant` began to run at `at`. Requests of nobody are not metered.
  void OnRequestStarted(const TenantName& tenant, TimePoint at);
  /// The node is leaving: what is counted is handed on at once from now on.
  void SetLeaving();

  /// Requests that are counted and not known to be committed.
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
  /// Agreed time less the own steady time.
  std::optional<Duration> offset_;
  /// Counted, and in no report yet.
  std::vector<StartedRequest> unreported_;
  /// Being committed.
  std::optional<UsageReport> report_;
  uint64_t sequence_ = 0;
  bool leaving_ = false;
  ScopedTimer time_timer_;
  ScopedTimer report_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
