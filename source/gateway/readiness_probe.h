/// Probes the readiness of a plain back end with GET /readyz, as a load balancer does.
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
  kLeaving,          ///< it is up and accepts no new requests (503 or a refused call)
  kNoReadinessPage,  ///< it is up and has no readiness page
  kUnreachable,      ///< no response
};

inline constexpr char kReadinessPath[] = "/readyz";

/// One probe. `done` is called once, from a separate event, unless the probe is destroyed first.
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
  /// Deferred, since the call may still be on the stack.
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
