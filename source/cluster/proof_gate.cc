#include "cluster/proof_gate.h"

#include <chrono>
#include <utility>

#include "common/event_log.h"

namespace millstair {

ProofGate::ProofGate(Environment& environment, ProofGateTiming timing, std::function<bool()> proven,
                     std::function<void()> ask)
    : environment_(environment),
      timing_(timing),
      proven_(std::move(proven)),
      ask_(std::move(ask)),
      timer_(environment) {}

void ProofGate::Pass(std::function<void()> work) {
  if (proven_()) return work();
  if (StoodStill()) ask_();
  if (!MayStillCome()) return work();
  if (waiting_.empty()) waiting_since_ = environment_.Now();
  waiting_.push_back(std::move(work));
  if (!timer_.armed()) Wait();
}

void ProofGate::NoteAsked() {
  const TimePoint now = environment_.Now();
  if (!asked_since_ || StoodStill()) asked_since_ = now;
  last_asked_ = now;
}

void ProofGate::NoteProven() {
  asked_since_.reset();
  Release();
}

bool ProofGate::StoodStill() const {
  return !last_asked_ || environment_.Now() - *last_asked_ > timing_.longest_pause;
}

bool ProofGate::MayStillCome() const {
  return asked_since_ && environment_.Now() - *asked_since_ < timing_.patience;
}

void ProofGate::Wait() {
  const TimePoint due = asked_since_.value_or(environment_.Now()) + timing_.patience;
  timer_.Arm(due - environment_.Now(), [this, due] { GiveUp(due); });
}

void ProofGate::GiveUp(TimePoint due) {
  // A timer that goes off so late tells that the node stood still while it waited: the answer may
  // lie in its sockets, and to have waited proves nothing.
  const bool late = environment_.Now() - due > timing_.patience / 2;
  if (!late) return Release();
  last_asked_.reset();
  ask_();
  Wait();
}

void ProofGate::Release() {
  timer_.Cancel();
  if (waiting_.empty()) return;
  const Duration waited = environment_.Now() - waiting_since_;
  LogEvent(EventId::kWorkHeldForProof, "held={} waited_ms={} proven={}", waiting_.size(),
           std::chrono::duration_cast<std::chrono::milliseconds>(waited).count(), proven_());
  const auto released = std::exchange(waiting_, {});
  for (const std::function<void()>& work : released) work();
}

}  // namespace millstair
