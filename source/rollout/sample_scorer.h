/// Scores texts with the platform's scoring service.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"

namespace millstair {

/// One scoring call with its retries. Lives on the node's serial executor; the destructor cancels
/// it.
class SampleScorer : private HttpCallObserver {
 public:
  using Callback = std::function<void(absl::StatusOr<double>)>;

  SampleScorer(Environment& environment, HttpCaller& http);
  /// Sends POST http://`address`/score {"text"}, which responds {"score"}, and retries a limited
  /// number of times. Unavailable if no attempt succeeded. May be called once only.
  void Score(const std::string& address, const std::string& text, Callback done);

 private:
  void OnHead(const HttpResponseHead& head) override { status_ = head.status; }
  void OnBody(std::string bytes) override;
  void OnFinished() override;
  void OnFailed(CallFailure failure, const std::string& reason) override;
  void StartAttempt();
  void Retry(const std::string& reason);
  void End(absl::StatusOr<double> result);

  Environment& environment_;
  HttpCaller& http_;
  std::string address_;
  std::string request_body_;
  Callback done_;
  int attempts_ = 0;
  int status_ = 0;
  std::string body_;
  ScopedTimer timer_;
  std::unique_ptr<CallHandle> call_;
};

}  // namespace millstair
