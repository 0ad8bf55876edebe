/// Ends batch jobs on behalf of clients. An end that could not be acknowledged in time is
/// completed later, so that the job does not run on if its client never asks again: ends are
/// idempotent, and nothing needs a job after one.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <set>

#include "absl/status/statusor.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "jobs/job_client.h"
#include "jobs/job_types.h"

namespace millstair {

/// Lives on the node's serial executor. What is not completed is lost with the process.
class JobEnder {
 public:
  using Callback = std::function<void(absl::StatusOr<JobResultCode>)>;

  /// `stats` may be null.
  JobEnder(Environment& environment, JobClient& jobs, StatsRegistry* stats);

  /// `done` gets kNotFound if another tenant has a job of this identifier, and DeadlineExceeded if
  /// it is unknown whether the job has ended; the end is then completed later.
  void End(const EndJob& end, Callback done);

 private:
  struct UnfinishedEnd {
    EndJob end;
    TimePoint asked_at;
  };

  void Report(const EndJob& end, const absl::StatusOr<JobResultCode>& result, Duration waited);
  void RetryLater(UnfinishedEnd unfinished);
  void SendWaiting();
  void OnRetryResult(UnfinishedEnd unfinished, const absl::StatusOr<JobResultCode>& result);

  Environment& environment_;
  JobClient& jobs_;
  StatsRegistry* const stats_;
  /// Not acknowledged and not in flight, in the order of the next attempts.
  std::deque<UnfinishedEnd> waiting_;
  /// Jobs of `waiting_` and of attempts in flight.
  std::set<EndJob> unfinished_;
  size_t in_flight_ = 0;
  ScopedTimer retry_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
