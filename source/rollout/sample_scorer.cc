#include "rollout/sample_scorer.h"

#include <boost/json.hpp>
#include <cmath>
#include <optional>

#include "common/random.h"

namespace millstair {
namespace {

constexpr int kMaxAttempts = 8;
constexpr int kOk = 200;
constexpr size_t kMaxResponseBytes = 4096;
constexpr Duration kAttemptTimeout = std::chrono::seconds(3);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(3);

std::optional<double> ParseScore(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) return std::nullopt;
  const boost::json::value* score = value.as_object().if_contains("score");
  if (score == nullptr || !score->is_number()) return std::nullopt;
  const auto number = score->to_number<double>();
  if (!std::isfinite(number)) return std::nullopt;
  return number;
}

}  // namespace

SampleScorer::SampleScorer(Environment& environment, HttpCaller& http)
    : environment_(environment), http_(http), timer_(environment) {}

void SampleScorer::Score(const std::string& address, const std::string& text, Callback done) {
  address_ = address;
  request_body_ = boost::json::serialize(boost::json::object{{"text", text}});
  done_ = std::move(done);
  StartAttempt();
}

void SampleScorer::StartAttempt() {
  ++attempts_;
  status_ = 0;
  body_.clear();
  HttpRequest request{"POST", "/score", {{"Content-Type", "application/json"}}, request_body_};
  request.headers.push_back({"Content-Length", std::to_string(request_body_.size())});
  timer_.Arm(kAttemptTimeout, [this] { Retry("no response within 3 s"); });
  call_ = http_.Start(address_, std::move(request), *this);
}

void SampleScorer::OnBody(std::string bytes) {
  body_ += bytes;
  if (body_.size() > kMaxResponseBytes) Retry("the response is too long");
}

void SampleScorer::OnFinished() {
  const std::optional<double> score = status_ == kOk ? ParseScore(body_) : std::nullopt;
  if (!score) return Retry("response holds no valid score");
  End(*score);
}

void SampleScorer::OnFailed(CallFailure, const std::string& reason) { Retry(reason); }

void SampleScorer::Retry(const std::string& reason) {
  call_.reset();
  if (attempts_ >= kMaxAttempts) return End(absl::UnavailableError("scorer: " + reason));
  const Duration backoff = std::min(kInitialBackoff * (1 << attempts_), kMaxBackoff);
  const Duration delay = DrawDuration(environment_.Random(), backoff / 2, backoff);
  timer_.Arm(delay, [this] { StartAttempt(); });
}

/// Calls back from a timer, so that the callback may destroy the call whose observer is running.
void SampleScorer::End(absl::StatusOr<double> result) {
  timer_.Arm(Duration(0), [this, result = std::move(result)] {
    const Callback done = std::move(done_);
    done(result);
  });
}

}  // namespace millstair
