#include "jobs/job_ender.h"

#include <string>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// An end is carried for as long as items of its job may run by default
/// (JobSchedulerOptions::item_lifetime).
constexpr Duration kMaxCarryTime = std::chrono::minutes(10);
/// Bound on the ends that are carried, of about 200 bytes each. Above it the oldest is dropped.
constexpr size_t kMaxCarried = 4096;
/// Each one is sent again about once a second while no leader is found.
constexpr size_t kMaxInFlight = 4;
constexpr Duration kCarryPause = std::chrono::milliseconds(250);

const char* OutcomeName(const absl::StatusOr<JobResultCode>& result) {
  if (!result.ok()) return "unanswered";
  return *result == JobResultCode::kOk ? "acknowledged" : "not-found";
}

}  // namespace

JobEnder::JobEnder(Environment& environment, JobClient& jobs, StatsRegistry* stats)
    : environment_(environment), jobs_(jobs), stats_(stats), retry_timer_(environment) {}

void JobEnder::End(const EndJob& end, Callback done) {
  jobs_.End(end, alive_.Guard([this, end, done = std::move(done), asked_at = environment_.Now()](
                                  const absl::StatusOr<JobResultCode>& result) {
    Report(end, result, environment_.Now() - asked_at);
    if (!result.ok()) Carry({end, asked_at});
    done(result);
  }));
}

void JobEnder::Carry(CarriedEnd carried) {
  if (!carried_jobs_.insert(carried.end).second) return;
  if (carried_jobs_.size() > kMaxCarried && !carried_.empty()) {
    LogEvent(EventId::kJobEndDropped, "job={} reason=\"too many\"", carried_.front().end.job);
    carried_jobs_.erase(carried_.front().end);
    carried_.pop_front();
  }
  carried_.push_back(std::move(carried));
  if (!retry_timer_.armed()) retry_timer_.Arm(kCarryPause, [this] { SendCarried(); });
}

void JobEnder::SendCarried() {
  while (in_flight_ < kMaxInFlight && !carried_.empty()) {
    CarriedEnd next = std::move(carried_.front());
    carried_.pop_front();
    ++in_flight_;
    jobs_.End(next.end, alive_.Guard([this, next](const absl::StatusOr<JobResultCode>& result) {
      OnCarriedResult(next, result);
    }));
  }
}

void JobEnder::OnCarriedResult(CarriedEnd carried, const absl::StatusOr<JobResultCode>& result) {
  --in_flight_;
  const Duration age = environment_.Now() - carried.asked_at;
  if (result.ok()) {
    LogEvent(EventId::kJobEndCarried, "job={} outcome={} age_ms={}", carried.end.job,
             OutcomeName(result), ToMilliseconds(age));
    carried_jobs_.erase(carried.end);
    return SendCarried();
  }
  if (age > kMaxCarryTime) {
    LogEvent(EventId::kJobEndDropped, "job={} reason=\"{}\"", carried.end.job,
             std::string(result.status().message()));
    carried_jobs_.erase(carried.end);
  } else {
    carried_.push_back(std::move(carried));
  }
  if (!retry_timer_.armed()) retry_timer_.Arm(kCarryPause, [this] { SendCarried(); });
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
