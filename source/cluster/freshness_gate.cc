#include "cluster/freshness_gate.h"

#include <chrono>
#include <utility>

#include "common/event_log.h"

namespace millstair {

FreshnessGate::FreshnessGate(Environment& environment, FreshnessGateTiming timing,
                             std::function<bool()> confirmed, std::function<void()> send_heartbeat)
    : environment_(environment),
      timing_(timing),
      confirmed_(std::move(confirmed)),
      send_heartbeat_(std::move(send_heartbeat)),
      timer_(environment) {}

void FreshnessGate::Submit(std::function<void()> work) {
  if (confirmed_()) return work();
  if (WasPaused()) send_heartbeat_();
  if (!ReplyMayArrive()) return work();
  if (waiting_.empty()) waiting_since_ = environment_.Now();
  waiting_.push_back(std::move(work));
  if (!timer_.armed()) ArmTimer();
}

void FreshnessGate::OnHeartbeatSent() {
  const TimePoint now = environment_.Now();
  if (!unanswered_since_ || WasPaused()) unanswered_since_ = now;
  last_sent_ = now;
}

void FreshnessGate::OnConfirmed() {
  unanswered_since_.reset();
  Release();
}

bool FreshnessGate::WasPaused() const {
  return !last_sent_ || environment_.Now() - *last_sent_ > timing_.max_heartbeat_interval;
}

bool FreshnessGate::ReplyMayArrive() const {
  return unanswered_since_ && environment_.Now() - *unanswered_since_ < timing_.reply_timeout;
}

void FreshnessGate::ArmTimer() {
  const TimePoint due = unanswered_since_.value_or(environment_.Now()) + timing_.reply_timeout;
  timer_.Arm(due - environment_.Now(), [this, due] { OnTimeout(due); });
}

void FreshnessGate::OnTimeout(TimePoint due) {
  // If the timer fires this late, the node was paused while it waited, and the reply may be unread
  // in its sockets.
  const bool late = environment_.Now() - due > timing_.reply_timeout / 2;
  if (!late) return Release();
  last_sent_.reset();
  send_heartbeat_();
  ArmTimer();
}

void FreshnessGate::Release() {
  timer_.Cancel();
  if (waiting_.empty()) return;
  const Duration waited = environment_.Now() - waiting_since_;
  LogEvent(EventId::kWorkHeldForProof, "held={} waited_ms={} proven={}", waiting_.size(),
           std::chrono::duration_cast<std::chrono::milliseconds>(waited).count(), confirmed_());
  const auto released = std::exchange(waiting_, {});
  for (const std::function<void()>& work : released) work();
}

}  // namespace millstair
