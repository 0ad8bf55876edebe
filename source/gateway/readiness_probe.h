/// Asks a plain back end whether it is ready: GET /readyz, as it would answer a load balancer.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"
#include "http/outcome.h"

namespace millstair {

enum class Readiness {
  kReady,
  kLeaving,          ///< 503: it is up and takes no new work
  kNoReadinessPage,  ///< it is up and has no readiness page
  kUnreachable,      ///< no answer
};

inline constexpr char kReadinessPath[] = "/readyz";

/// One question; `done` is called once, from a fresh event, unless the probe is dropped first.
class ReadinessProbe : public HttpCallObserver {
 public:
  ReadinessProbe(Environment& environment, HttpCaller& http, const std::string& address,
                 Duration timeout, std::function<void(Readiness)> done)
      : done_(std::move(done)), timer_(environment) {
    timer_.Arm(timeout, [this] { Conclude(Readiness::kUnreachable); });
    HttpRequest request{"GET", kReadinessPath, {{"Host", address}}, ""};
    handle_ = http.Start(address, std::move(request), *this);
  }

  void OnHead(const HttpResponseHead& head) override {
    constexpr int kUnavailable = 503;
    result_ = Readiness::kNoReadinessPage;
    if (head.status == kUnavailable) result_ = Readiness::kLeaving;
    if (head.status >= 200 && head.status < 300) result_ = Readiness::kReady;
  }
  void OnBody(std::string) override {}
  void OnFinished() override { ConcludeSoon(result_); }
  void OnFailed(CallFailure failure, const std::string&) override {
    ConcludeSoon(failure == CallFailure::kRefused ? Readiness::kLeaving : Readiness::kUnreachable);
  }

 private:
  /// The call may still be on the stack.
  void ConcludeSoon(Readiness readiness) {
    timer_.Arm(Duration(0), [this, readiness] { Conclude(readiness); });
  }
  void Conclude(Readiness readiness) {
    handle_.reset();
    const std::function<void(Readiness)> done = done_;
    done(readiness);
  }

  std::function<void(Readiness)> done_;
  Readiness result_ = Readiness::kNoReadinessPage;
  ScopedTimer timer_;
  std::unique_ptr<CallHandle> handle_;
};

}  // namespace millstair
