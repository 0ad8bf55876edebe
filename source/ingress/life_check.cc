#include "ingress/life_check.h"

#include <utility>

namespace millstair {
namespace {

/// The first call may go out on a kept connection that breaks just then: that says nothing of
/// whether somebody listens.
constexpr int kMostCalls = 2;

}  // namespace

std::string_view LifeVerdictName(LifeVerdict verdict) {
  switch (verdict) {
    case LifeVerdict::kLives:
      return "lives";
    case LifeVerdict::kEnded:
      return "ended";
    case LifeVerdict::kUnsure:
      break;
  }
  return "unsure";
}

LifeCheck::LifeCheck(Environment& environment, HttpCaller& http, const BackendProtocol& protocol,
                     BackendInstance instance, std::string health_path, Callback done)
    : http_(http),
      protocol_(protocol),
      instance_(std::move(instance)),
      health_path_(std::move(health_path)),
      done_(std::move(done)),
      patience_(environment),
      next_step_(environment) {}

void LifeCheck::Start() {
  if (calls_++ == 0) patience_.Arm(kPatience, [this] { End(LifeVerdict::kUnsure); });
  handle_ = http_.Start(instance_.address, protocol_.MakeHealthRequest(instance_.id, health_path_),
                        *this);
}

void LifeCheck::OnHead(const HttpResponseHead& head) {
  End(protocol_.IsAnswerOf(head, instance_.id) ? LifeVerdict::kLives : LifeVerdict::kEnded);
}

void LifeCheck::OnFailed(CallFailure failure, const std::string&) {
  if (ended_) return;
  if (failure == CallFailure::kNotSent) return End(LifeVerdict::kEnded);
  if (calls_ >= kMostCalls) return End(LifeVerdict::kUnsure);
  // The failed call's own frame is still in use.
  next_step_.Arm(Duration(0), [this] { Start(); });
}

void LifeCheck::End(LifeVerdict verdict) {
  if (std::exchange(ended_, true)) return;
  patience_.Cancel();
  next_step_.Arm(Duration(0), [this, verdict] {
    handle_.reset();
    const Callback done = std::move(done_);
    done(verdict);
  });
}

}  // namespace millstair
