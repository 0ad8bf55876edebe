#include "metering/usage_counter.h"

#include <map>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Delay from the first unreported request to its report. Bounds the requests lost with a gateway.
constexpr Duration kReportDelay = std::chrono::milliseconds(500);
/// Delay on a leaving node, which may stop right after its last response.
constexpr Duration kLeavingReportDelay = std::chrono::milliseconds(20);
/// Delay before a report that may not be committed is sent again.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// Interval of queries for the agreed time, and until it is first known. Drift between steady
/// clocks is far below a millisecond in that time.
constexpr Duration kTimeQueryInterval = std::chrono::seconds(3);
constexpr Duration kInitialTimeQueryInterval = std::chrono::milliseconds(500);
/// A reply may be off by half its round trip; one that took longer does not replace a known time.
constexpr Duration kMaxRoundTrip = std::chrono::milliseconds(100);

}  // namespace

UsageCounter::UsageCounter(Environment& environment, UsageCounterOptions options, Submit submit,
                           QueryTime ask)
    : environment_(environment),
      options_(std::move(options)),
      submit_(std::move(submit)),
      query_time_(std::move(ask)),
      time_timer_(environment),
      report_timer_(environment) {}

void UsageCounter::Start() {
  if (options_.window > Duration(0)) QueryAgreedTime();
}

void UsageCounter::QueryAgreedTime() {
  time_timer_.Arm(offset_ ? kTimeQueryInterval : kInitialTimeQueryInterval,
                  [this] { QueryAgreedTime(); });
  query_time_(environment_.WallNow(),
              alive_.Guard([this, sent_at = environment_.Now()](std::optional<WallTime> agreed) {
                OnAgreedTime(agreed, sent_at);
              }));
}

void UsageCounter::OnAgreedTime(std::optional<WallTime> agreed, TimePoint sent_at) {
  if (!agreed) return;
  const Duration round_trip = environment_.Now() - sent_at;
  if (offset_ && round_trip > kMaxRoundTrip) return;
  const TimePoint sampled_at = sent_at + round_trip / 2;
  const bool first = !offset_;
  offset_ = Duration(agreed->time_since_epoch()) - sampled_at.time_since_epoch();
  if (first && !unreported_.empty()) ScheduleReport();
}

void UsageCounter::OnRequestStarted(const TenantName& tenant, TimePoint at) {
  if (options_.window <= Duration(0) || tenant == TenantName()) return;
  unreported_.push_back({tenant, at});
  ScheduleReport();
}

void UsageCounter::SetLeaving() {
  leaving_ = true;
  if (!unreported_.empty() && !report_) Report();
}

size_t UsageCounter::uncommitted() const {
  size_t requests = unreported_.size();
  if (!report_) return requests;
  for (const UsageCount& count : report_->counts) requests += count.requests;
  return requests;
}

void UsageCounter::ScheduleReport() {
  if (report_ || report_timer_.armed()) return;
  report_timer_.Arm(leaving_ ? kLeavingReportDelay : kReportDelay, [this] { Report(); });
}

void UsageCounter::Report() {
  if (report_ || unreported_.empty() || !offset_) return;
  report_timer_.Cancel();
  report_ = NextReport();
  Send();
}

UsageReport UsageCounter::NextReport() {
  std::map<UsageWindow, TenantCounts> counted;
  for (const StartedRequest& request : std::exchange(unreported_, {})) {
    const Duration since_epoch = request.at.time_since_epoch() + *offset_;
    const WallTime at(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch));
    ++counted[WindowAt(at, options_.window)][request.tenant];
  }
  UsageReport report{options_.gateway, options_.incarnation, ++sequence_, {}};
  for (const auto& [window, tenants] : counted) {
    for (const auto& [tenant, requests] : tenants) {
      report.counts.push_back({window, tenant, requests});
    }
  }
  return report;
}

void UsageCounter::Send() {
  submit_(*report_, alive_.Guard([this](bool committed) {
    if (!committed) {
      LogEvent(EventId::kUsageUncommitted, "sequence={} entries={}", report_->sequence,
               report_->counts.size());
      report_timer_.Arm(kRetryDelay, [this] { Send(); });
      return;
    }
    report_.reset();
    if (!unreported_.empty()) ScheduleReport();
  }));
}

}  // namespace millstair
