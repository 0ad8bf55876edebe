#include "jobs/job_ender.h"

#include <string>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

const char* OutcomeName(const absl::StatusOr<JobResultCode>& result) {
  if (!result.ok()) return "unanswered";
  return *result == JobResultCode::kOk ? "acknowledged" : "not-found";
}

}  // namespace

JobEnder::JobEnder(Environment& environment, JobClient& jobs, StatsRegistry* stats)
    : environment_(environment), jobs_(jobs), stats_(stats) {}

void JobEnder::End(const EndJob& end, Callback done) {
  jobs_.End(end, [this, end, done = std::move(done),
                  asked_at = environment_.Now()](const absl::StatusOr<JobResultCode>& result) {
    Report(end, result, environment_.Now() - asked_at);
    done(result);
  });
}

void JobEnder::Report(const EndJob& end, const absl::StatusOr<JobResultCode>& result,
                      Duration waited) {
  const std::string outcome = OutcomeName(result);
  if (result.ok() && *result == JobResultCode::kOk) {
    LogEvent(EventId::kJobEnded, "job={} status=200 waited_ms={}", end.job, ToMilliseconds(waited));
  } else {
    const std::string reason(result.ok() ? "no such job" : result.status().message());
    LogEvent(EventId::kJobEndUnanswered, "job={} outcome={} waited_ms={} reason=\"{}\"", end.job,
             outcome, ToMilliseconds(waited), reason);
  }
  if (stats_ == nullptr) return;
  stats_
      ->NewCounter({"millstair_job_ends_total", "Requests to end a batch job, by outcome.",
                    "outcome", outcome})
      .Add();
  stats_
      ->NewHistogram({"millstair_job_end_seconds",
                      "From a request to end a batch job to its response.", "", ""})
      .Observe(ToSeconds(waited));
}

}  // namespace millstair
