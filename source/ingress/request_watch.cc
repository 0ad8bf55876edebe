#include "ingress/request_watch.h"

#include <utility>

#include "common/event_log.h"

namespace millstair {

const RequestFingerprint& RequestWatch::fingerprint() {
  if (!fingerprint_) fingerprint_ = FingerprintOf(request_);
  return *fingerprint_;
}

const std::string& RequestWatch::place() {
  if (!place_) place_ = PlaceOf(request_.host, request_.http.target);
  return *place_;
}

GuardDecision RequestWatch::Judge() {
  if (!MayBeSuspect()) return {};
  GuardDecision decision = guard_.Judge(fingerprint());
  if (on_trial_ && !trial_used_) decision.verdict = GuardVerdict::kSend;
  if (decision.verdict == GuardVerdict::kRefuse) {
    LogEvent(EventId::kRequestWithheld,
             "request={} fingerprint={} place=\"{}\" crashes={} trials={} retry_after_ms={}",
             request_.request_id, fingerprint(), place(), decision.crashes, decision.trials,
             std::chrono::duration_cast<std::chrono::milliseconds>(decision.retry_after).count());
  }
  return decision;
}

void RequestWatch::BeginTrial(std::function<void(bool granted)> done) {
  guard_.BeginTrial(fingerprint(), alive_.Guard([this, done = std::move(done)](bool granted) {
    on_trial_ = granted;
    done(granted);
  }));
}

bool RequestWatch::IsSuspect() {
  if (lost_ || on_trial_) return true;
  return MayBeSuspect() && guard_.Judge(fingerprint()).crashes > 0;
}

void RequestWatch::NoteLost(const BackendInstance& instance) {
  lost_ = true;
  trial_used_ = on_trial_;
  guard_.NoteLost({fingerprint(), place()}, instance);
}

void RequestWatch::NoteServed() {
  if (!MayBeSuspect()) return;
  lost_ = false;
  guard_.NoteServed(fingerprint());
}

}  // namespace millstair
