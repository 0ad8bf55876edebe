/// One small HTTP exchange with a timeout.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"

namespace millstair {

/// Lives on the node's serial executor. Destroying it cancels the exchange. An answer above 1 MiB
/// is given up like one that is cut.
class BoundedCall : public HttpCallObserver {
 public:
  /// Status 0 means that no complete response was received.
  using Callback = std::function<void(int status, const std::string& body)>;

  /// `done` is called once, asynchronously, and may destroy the call.
  BoundedCall(Environment& environment, Duration limit, Callback done);

  void Start(HttpCaller& http, const std::string& address, HttpRequest request);

  void OnHead(const HttpResponseHead& head) override { status_ = head.status; }
  void OnBody(std::string bytes) override;
  void OnFinished() override { End(status_); }
  void OnFailed(CallFailure, const std::string&) override { End(0); }

 private:
  void End(int status);

  Environment& environment_;
  const Duration timeout_;
  Callback done_;
  ScopedTimer timer_;
  std::unique_ptr<CallHandle> handle_;
  int status_ = 0;
  std::string body_;
};

}  // namespace millstair
