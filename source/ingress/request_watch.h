/// What one request on its way has to do with the guard: asks before each send, tells how sends
/// end.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "ingress/forward_request.h"
#include "ingress/request_guard.h"

namespace millstair {

/// Part of a flow, and gone with it. The request outlives it.
class RequestWatch {
 public:
  RequestWatch(RequestGuard& guard, const ForwardRequest& request)
      : guard_(guard), request_(request) {}
  /// A request that was lost and not answered is one that its caller may bring elsewhere.
  ~RequestWatch() {
    if (lost_) guard_.OnGivenUp(fingerprint());
    if (on_trial_ && !trial_used_) guard_.ReturnTrial(fingerprint());
  }
  RequestWatch(const RequestWatch&) = delete;
  RequestWatch& operator=(const RequestWatch&) = delete;

  /// Has the request sent once the guard allows it, maybe at once: waits by `retry_timer` while a
  /// back end's life is being asked for, and asks for a trial if one is due. Else `withhold` hears
  /// when it may be tried again. Nothing is called once the watch is gone.
  void SendIfAllowed(ScopedTimer& retry_timer, std::function<void()> send,
                     std::function<void(Duration retry_after)> withhold);
  /// Whether a back end ended under it: then it is sent to one back end at a time.
  bool IsSuspect();

  /// It is on its way to a back end; a trial is used up by that, also if the back end refuses it,
  /// since each send counts.
  void OnSent() { trial_used_ = on_trial_; }
  /// Nothing of it reached the back end.
  void OnUnreachable() { trial_used_ = false; }
  /// `instance` got it and gave no whole answer.
  void OnLost(const BackendInstance& instance);
  /// Tells its content from others, also in logs.
  const RequestFingerprint& fingerprint();
  /// A back end answered it, or got further with it than the one that was lost before.
  void OnServed();

 private:
  /// What may be done with the request now. A trial that was granted allows one send.
  GuardDecision Judge();
  const std::string& place();
  uint64_t digest() const;
  bool MayBeSuspect() { return lost_ || (!guard_.idle() && guard_.MayBeSuspect(place())); }

  RequestGuard& guard_;
  const ForwardRequest& request_;
  /// Made when they are needed: most requests never do.
  std::optional<std::string> place_;
  std::optional<RequestFingerprint> fingerprint_;
  bool lost_ = false;
  bool on_trial_ = false;
  bool trial_used_ = false;
  AliveFlag alive_;
};

}  // namespace millstair
