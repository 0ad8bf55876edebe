#include "cluster/confirmed_reads.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace millstair {
namespace {

/// Reads requested within this time share one heartbeat.
constexpr Duration kBatchDelay = std::chrono::milliseconds(2);
/// By then the callers have moved to another control node.
constexpr Duration kTimeout = std::chrono::seconds(1);

}  // namespace

ConfirmedReads::ConfirmedReads(Environment& environment, std::function<void()> send_heartbeat)
    : environment_(environment),
      send_heartbeat_(std::move(send_heartbeat)),
      send_timer_(environment),
      timeout_timer_(environment) {}

void ConfirmedReads::Request(Callback done) {
  reads_.push_back({environment_.Now(), std::move(done)});
  if (send_timer_.armed() || in_progress_) return;
  send_timer_.Arm(kBatchDelay, [this] { Send(); });
}

void ConfirmedReads::Send() {
  in_progress_ = true;
  timeout_timer_.Arm(kTimeout, [this] { FailExpired(); });
  send_heartbeat_();
}

void ConfirmedReads::OnConfirmed(TimePoint sent_at) {
  const std::vector<Read> confirmed = Take(sent_at);
  Continue();
  for (const Read& read : confirmed) read.done(absl::OkStatus());
}

void ConfirmedReads::Continue() {
  in_progress_ = false;
  timeout_timer_.Cancel();
  if (reads_.empty() || send_timer_.armed()) return;
  send_timer_.Arm(kBatchDelay, [this] { Send(); });
}

void ConfirmedReads::FailExpired() {
  const std::vector<Read> expired = Take(environment_.Now() - kTimeout);
  Continue();
  for (const Read& read : expired) {
    read.done(absl::UnavailableError("no replica confirmed the read in time"));
  }
}

void ConfirmedReads::AbortAll() {
  send_timer_.Cancel();
  timeout_timer_.Cancel();
  in_progress_ = false;
  for (const Read& read : std::exchange(reads_, {})) {
    read.done(absl::AbortedError("the relay ended"));
  }
}

std::vector<ConfirmedReads::Read> ConfirmedReads::Take(TimePoint until) {
  const auto first_later = std::find_if(
      reads_.begin(), reads_.end(), [&](const Read& read) { return read.requested_at > until; });
  std::vector<Read> taken(std::make_move_iterator(reads_.begin()),
                          std::make_move_iterator(first_later));
  reads_.erase(reads_.begin(), first_later);
  return taken;
}

}  // namespace millstair
