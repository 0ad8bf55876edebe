#include "jobs/job_ender.h"

#include <string>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// For as long as items of a job run by default (JobSchedulerOptions::item_lifetime).
constexpr Duration kMaxRetryTime = std::chrono::minutes(10);
/// Bound on the unfinished ends, of up to 800 bytes each. Above it the oldest is dropped.
constexpr size_t kMaxUnfinished = 4096;
/// Each attempt sends an end about three times while no leader is found.
constexpr size_t kMaxInFlight = 4;
constexpr Duration kRetryPause = std::chrono::milliseconds(250);

const char* OutcomeName(const absl::StatusOr<JobResultCode>& result) {
  if (!result.ok()) return "unanswered";
  return *result == JobResultCode::kOk ? "acknowledged" : "not-found";
}

/// Not after a refusal: the group keeps no more ends of unknown jobs.
bool MayRetry(const absl::Status& status) {
  return !status.ok() && !absl::IsResourceExhausted(status);
}

}  // namespace

JobEnder::JobEnder(Environment& environment, JobClient& jobs, StatsRegistry* stats)
    : environment_(environment), jobs_(jobs), stats_(stats), retry_timer_(environment) {}

void JobEnder::End(const EndJob& end, Callback done) {
  jobs_.End(end, alive_.Guard([this, end, done = std::move(done), asked_at = environment_.Now()](
                                  const absl::StatusOr<JobResultCode>& result) {
    Report(end, result, environment_.Now() - asked_at);
    if (MayRetry(result.status()) && MayKeep(end)) RetryLater({end, asked_at});
    done(result);
  }));
}

void JobEnder::RetryLater(UnfinishedEnd unfinished) {
  if (!unfinished_.insert(unfinished.end).second) return;
  if (unfinished_.size() > kMaxUnfinished && !waiting_.empty()) {
    LogEvent(EventId::kJobEndDropped, "job={} reason=\"too many\"", waiting_.front().end.job);
    unfinished_.erase(waiting_.front().end);
    waiting_.pop_front();
  }
  waiting_.push_back(std::move(unfinished));
  if (!retry_timer_.armed()) retry_timer_.Arm(kRetryPause, [this] { SendWaiting(); });
}

void JobEnder::SendWaiting() {
  while (in_flight_ < kMaxInFlight && !waiting_.empty()) {
    UnfinishedEnd next = std::move(waiting_.front());
    waiting_.pop_front();
    ++in_flight_;
    jobs_.End(next.end, alive_.Guard([this, next](const absl::StatusOr<JobResultCode>& result) {
      OnRetryResult(next, result);
    }));
  }
}

void JobEnder::OnRetryResult(UnfinishedEnd unfinished,
                             const absl::StatusOr<JobResultCode>& result) {
  --in_flight_;
  const Duration age = environment_.Now() - unfinished.asked_at;
  if (!MayRetry(result.status())) {
    LogEvent(EventId::kJobEndCompletedLate, "job={} outcome={} age_ms={}", unfinished.end.job,
             OutcomeName(result), ToMilliseconds(age));
    unfinished_.erase(unfinished.end);
    return SendWaiting();
  }
  if (age > kMaxRetryTime) {
    LogEvent(EventId::kJobEndDropped, "job={} reason=\"{}\"", unfinished.end.job,
             std::string(result.status().message()));
    unfinished_.erase(unfinished.end);
  } else {
    waiting_.push_back(std::move(unfinished));
  }
  if (!retry_timer_.armed()) retry_timer_.Arm(kRetryPause, [this] { SendWaiting(); });
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
