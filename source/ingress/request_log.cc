#include "ingress/request_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace millstair {
namespace {

/// Full lines; the rest of the process's line budget is left to other events.
constexpr double kLinesPerSecond = 150;
constexpr double kLineBurst = 300;
constexpr double kSummariesPerSecond = 20;
constexpr double kSummaryBurst = 20;
/// A summary is written once it has this many bytes, or after `kSummaryDelay`. Log lines are cut
/// after 4096 bytes.
constexpr size_t kSummaryBytes = 3600;
constexpr Duration kSummaryDelay = std::chrono::milliseconds(100);

/// -1 if there was no confirmation.
int64_t Milliseconds(std::optional<Duration> age) { return age ? ToMilliseconds(*age) : -1; }

std::string FullLine(const RequestRecord& record) {
  const ForwardResult& result = record.result;
  const RequestArrival& arrival = record.arrival;
  return fmt::format(
      "request={} status={} outcome={} events={} tries={} instance={} routing={} digest={:016x} "
      "revision={} source={} proof_ms={} sent_proof_ms={} held_ms={} reason=\"{}\"",
      record.request, record.status, ForwardOutcomeName(result.outcome), record.events,
      result.attempts, result.instance, result.routing_version, result.routing_digest,
      arrival.revision, arrival.confirmed_by, Milliseconds(arrival.confirmation_age),
      Milliseconds(result.confirmation_age_at_send), Milliseconds(arrival.wait_time),
      result.reason);
}

}  // namespace

RequestLog::RequestLog(Environment& environment, Duration lease, StatsRegistry* stats,
                       LineWriter write_line)
    : environment_(environment),
      lease_(lease),
      stats_(stats),
      write_line_(std::move(write_line)),
      unconfirmed_(environment, write_line_),
      lines_(kLinesPerSecond, kLineBurst, environment.Now()),
      summaries_(kSummariesPerSecond, kSummaryBurst, environment.Now()),
      timer_(environment) {}

RequestLog::~RequestLog() { WriteSummary(); }

void RequestLog::Record(EventId event, const RequestRecord& record) {
  Count(record);
  if (!EventEnabled(event)) return;
  const TimePoint now = environment_.Now();
  if (lines_.Available(now) == 0) return Summarize(record);
  lines_.Take(now);
  write_line_(event, FullLine(record));
}

void RequestLog::Count(const RequestRecord& record) {
  const auto age = record.result.confirmation_age_at_send;
  if (!age) return;
  const bool unconfirmed = *age > lease_;
  if (unconfirmed) {
    unconfirmed_.Add(record.request, record.result.routing_version, *age,
                     record.arrival.control_silence);
  }
  if (stats_ == nullptr) return;
  stats_
      ->NewHistogram({"millstair_confirmation_age_at_send_seconds",
                      "Age of the last confirmation of the configuration as a request was sent."})
      .Observe(ToSeconds(*age));
  if (!unconfirmed) return;
  stats_
      ->NewCounter({"millstair_requests_unconfirmed_total",
                    "Requests sent by a configuration whose lease had expired."})
      .Add();
}

void RequestLog::Summarize(const RequestRecord& record) {
  const ForwardResult& result = record.result;
  entries_ += fmt::format("{}{}/{}/{}/{}/{}", entries_.empty() ? "" : ",", record.request,
                          record.status, result.routing_version,
                          Milliseconds(result.confirmation_age_at_send), result.instance);
  if (entries_.size() >= kSummaryBytes) return WriteSummary();
  if (!timer_.armed()) timer_.Arm(kSummaryDelay, [this] { WriteSummary(); });
}

void RequestLog::WriteSummary() {
  timer_.Cancel();
  if (entries_.empty()) return;
  const TimePoint now = environment_.Now();
  if (summaries_.Available(now) == 0) {
    left_out_ += static_cast<uint64_t>(std::count(entries_.begin(), entries_.end(), ',')) + 1;
    entries_.clear();
    return;
  }
  summaries_.Take(now);
  write_line_(EventId::kRequestsSummarized,
              fmt::format("left_out={} requests={}", left_out_, entries_));
  left_out_ = 0;
  entries_.clear();
}

}  // namespace millstair
