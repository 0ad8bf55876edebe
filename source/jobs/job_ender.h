/// Ends batch jobs on behalf of clients, and reports how that went.
#pragma once

#include <functional>

#include "absl/status/statusor.h"
#include "common/environment.h"
#include "common/stats.h"
#include "jobs/job_client.h"
#include "jobs/job_types.h"

namespace millstair {

/// Lives on the node's serial executor.
class JobEnder {
 public:
  using Callback = std::function<void(absl::StatusOr<JobResultCode>)>;

  /// `stats` may be null.
  JobEnder(Environment& environment, JobClient& jobs, StatsRegistry* stats);

  /// `done` gets kNotFound if the tenant has no such job, and DeadlineExceeded if it is unknown
  /// whether the job has ended.
  void End(const EndJob& end, Callback done);

 private:
  void Report(const EndJob& end, const absl::StatusOr<JobResultCode>& result, Duration waited);

  Environment& environment_;
  JobClient& jobs_;
  StatsRegistry* const stats_;
};

}  // namespace millstair
