/// Connects one request in flight with the guard: consults it before each send and reports how each
/// send ended.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "ingress/backend_directory.h"
#include "ingress/forward_request.h"
#include "ingress/request_guard.h"
#include "ingress/route_table.h"

namespace millstair {

/// Owned by a flow. The arguments outlive it.
class RequestWatch {
 public:
  RequestWatch(RequestGuard& guard, const BackendDirectory& directory, const Route& route,
               const ForwardRequest& request)
      : guard_(guard), directory_(directory), route_(route), request_(request) {}
  /// Reports a lost request that was not answered, since its caller may retry it at another node.
  ~RequestWatch() {
    if (lost_) guard_.OnGivenUp(fingerprint());
    if (on_trial_ && !trial_used_) guard_.ReturnTrial(fingerprint());
  }
  RequestWatch(const RequestWatch&) = delete;
  RequestWatch& operator=(const RequestWatch&) = delete;

  /// Calls `send` once the guard allows it, possibly at once. Waits by `retry_timer` while a
  /// liveness check or a trial ends soon, and requests a trial if one is due. Otherwise calls
  /// `withhold` with the time until a retry. Nothing is called after the watch is destroyed.
  void SendIfAllowed(ScopedTimer& retry_timer, std::function<void()> send,
                     std::function<void(Duration retry_after)> withhold);
  /// Whether a back end crashed under the request: then it is sent to one back end at a time.
  bool IsSuspect();

  /// The request is being sent. A trial allows one send.
  void OnSent() { trial_used_ = on_trial_; }
  /// Nothing of the request reached the back end.
  void OnUnreachable() { trial_used_ = false; }
  /// A back end did not run the request. With `wrong_instance` it was not the one addressed, which
  /// got nothing.
  void OnRefused(bool wrong_instance);
  /// `instance` received the request and sent no complete response.
  void OnLost(const BackendInstance& instance);
  /// Identifies the request's content, also in logs.
  const RequestFingerprint& fingerprint();
  /// A back end responded to the request, or got further with it than the one that lost it.
  void OnServed();

 private:
  /// What may be done with the request now. A granted trial allows one send.
  GuardDecision Judge();
  /// Whether each service of the route has kSpareBackends.
  bool HasSpareBackends() const;
  const std::string& place();
  uint64_t digest() const;
  bool MayBeSuspect() { return lost_ || (!guard_.idle() && guard_.MayBeSuspect(place())); }

  RequestGuard& guard_;
  const BackendDirectory& directory_;
  const Route& route_;
  const ForwardRequest& request_;
  /// Computed on first use: most requests never need them.
  std::optional<std::string> place_;
  std::optional<RequestFingerprint> fingerprint_;
  bool lost_ = false;
  bool on_trial_ = false;
  bool trial_used_ = false;
  /// Its trial was refused and left to the next request of the same content.
  bool trial_refused_ = false;
  AliveFlag alive_;
};

}  // namespace millstair
