/// Decides at submission whether a batch job can be served. Only a job that is certain to fail is
/// rejected: estimates of lengths are rough, so every doubt counts in favour of the job.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "jobs/step_forecast.h"

namespace millstair {

/// A job as the admission sees it.
struct AdmissionJob {
  /// Its pool is ignored: all jobs of one decision use the same engines.
  ForecastJob job;
  /// Seconds until its items may be given up; infinite if they never are.
  double given_up_in_seconds = 0;
};

enum class JobRejectionReason : uint8_t {
  kTextsTooLong = 1,  ///< every group has a text that takes longer even at the fastest engine
  kBacklog = 2,       ///< the engines are busy with earlier and more urgent jobs until then
  kMemory = 3,        ///< the replicas have no memory for its items
};

/// Name for logs and metrics, such as "backlog".
std::string_view JobRejectionReasonName(JobRejectionReason reason);

struct JobRejection {
  JobRejectionReason reason = JobRejectionReason::kBacklog;
  /// Time after which the job is expected to fit, at the rate at which the backlog drains.
  Duration retry_after{0};
};

/// A rejection if none of the groups of `added` can be complete before its items may be given up,
/// behind the wanted groups of the `open` jobs of the same or a more urgent priority. None without
/// engines, since it is unknown when they come back. The cost is that of two forecasts.
std::optional<JobRejection> DecideAdmission(const ForecastPool& pool,
                                            const std::vector<AdmissionJob>& open,
                                            const AdmissionJob& added);

}  // namespace millstair
