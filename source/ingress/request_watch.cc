#include "ingress/request_watch.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Retry-After of a request whose trial was refused. Back ends refuse for moments.
constexpr Duration kRefusedTrialRetryAfter = std::chrono::milliseconds(200);

}  // namespace

const RequestFingerprint& RequestWatch::fingerprint() {
  if (!fingerprint_) fingerprint_ = FingerprintOf(IdentityOf(request_));
  return *fingerprint_;
}

const std::string& RequestWatch::place() {
  if (!place_) place_ = PlaceOf(request_.host, request_.http.target);
  return *place_;
}

GuardDecision RequestWatch::Judge() {
  if (request_.trusted || !MayBeSuspect()) return {};
  GuardDecision decision = guard_.Judge(fingerprint(), [this] { return HasSpareBackends(); });
  if (on_trial_ && !trial_used_) decision.verdict = GuardVerdict::kSend;
  if (decision.verdict != GuardVerdict::kSend && !lost_ && guard_.ServedRecently(digest())) {
    // Other nodes may have counted crashes of an outage against a request that this node has just
    // seen served. Clears it, so that popular requests are not withheld.
    guard_.OnServed(fingerprint());
    return {};
  }
  if (decision.verdict == GuardVerdict::kTrial && trial_refused_) {
    decision.verdict = GuardVerdict::kRefuse;
    decision.retry_after = kRefusedTrialRetryAfter;
  }
  if (decision.verdict == GuardVerdict::kRefuse) {
    LogEvent(EventId::kRequestWithheld,
             "request={} fingerprint={} place=\"{}\" crashes={} trials={} retry_after_ms={}",
             request_.request_id, fingerprint(), place(), decision.count.crashes,
             decision.count.trials,
             std::chrono::duration_cast<std::chrono::milliseconds>(decision.retry_after).count());
  }
  return decision;
}

bool RequestWatch::HasSpareBackends() const {
  const auto crashed = [this](const BackendInstance& backend) {
    return guard_.MayHaveCrashed(backend);
  };
  return std::all_of(route_.services.begin(), route_.services.end(), [&](const auto& share) {
    return share.weight == 0 || directory_.HasHealthy(share.service, kSpareBackends, crashed);
  });
}

void RequestWatch::SendIfAllowed(ScopedTimer& retry_timer, std::function<void()> send,
                                 std::function<void(Duration retry_after)> withhold) {
  const GuardDecision decision = Judge();
  switch (decision.verdict) {
    case GuardVerdict::kSend:
      return send();
    case GuardVerdict::kRefuse:
      return withhold(decision.retry_after);
    case GuardVerdict::kWait:
      return retry_timer.Arm(
          std::clamp(decision.retry_after, kCheckPause, kMaxCheckPause),
          [this, &retry_timer, send = std::move(send), withhold = std::move(withhold)] {
            SendIfAllowed(retry_timer, send, withhold);
          });
    case GuardVerdict::kTrial:
      break;
  }
  const auto begin = [this, send = std::move(send), withhold = std::move(withhold)](bool granted) {
    on_trial_ = granted;
    if (granted) return send();
    withhold(kClientTrialPauses.front());
  };
  // If the caller has disconnected by then, the trial goes back to the guard.
  const auto give_back = [&guard = guard_, request = fingerprint()](bool granted) {
    if (granted) guard.ReturnTrial(request);
  };
  guard_.BeginTrial(fingerprint(), alive_.GuardOr(begin, give_back));
}

bool RequestWatch::IsSuspect() {
  if (lost_ || on_trial_) return true;
  return MayBeSuspect() && guard_.Judge(fingerprint()).count.crashes > 0;
}

void RequestWatch::OnRefused(bool wrong_instance) {
  if (!on_trial_) return;
  if (wrong_instance) return OnUnreachable();
  // The refusal shows nothing about the request. The cluster grants the next trial only after a
  // long pause, so this one must not be lost.
  guard_.ReturnTrial(fingerprint());
  on_trial_ = trial_used_ = false;
  trial_refused_ = true;
}

void RequestWatch::OnLost(const BackendInstance& instance) {
  if (request_.trusted || (!on_trial_ && guard_.ServedRecently(digest()))) return;
  lost_ = true;
  guard_.OnLost({fingerprint(), place(), trial_used_}, instance);
}

uint64_t RequestWatch::digest() const {
  return DigestOf(IdentityOf(request_), guard_.digest_seed());
}

void RequestWatch::OnServed() {
  guard_.RecordServed(digest());
  if (!MayBeSuspect()) return;
  lost_ = false;
  guard_.OnServed(fingerprint());
}

}  // namespace millstair
