#include "ingress/liveness_check.h"

#include <utility>

namespace millstair {
namespace {

/// Two, since the first call may use a pooled connection that has just been closed.
constexpr int kMaxCalls = 2;

}  // namespace

std::string_view LivenessVerdictName(LivenessVerdict verdict) {
  switch (verdict) {
    case LivenessVerdict::kAlive:
      return "lives";
    case LivenessVerdict::kEnded:
      return "ended";
    case LivenessVerdict::kUnsure:
      break;
  }
  return "unsure";
}

LivenessCheck::LivenessCheck(Environment& environment, HttpCaller& http,
                             const BackendProtocol& protocol, BackendInstance instance,
                             std::string health_path, Callback done)
    : http_(http),
      protocol_(protocol),
      instance_(std::move(instance)),
      health_path_(std::move(health_path)),
      done_(std::move(done)),
      timeout_(environment),
      next_step_(environment) {}

void LivenessCheck::Start() {
  if (calls_++ == 0) timeout_.Arm(kTimeout, [this] { End(LivenessVerdict::kUnsure); });
  handle_ = http_.Start(instance_.address, protocol_.MakeHealthRequest(instance_.id, health_path_),
                        *this);
}

void LivenessCheck::OnHead(const HttpResponseHead& head) {
  End(protocol_.IsAnswerOf(head, instance_.id) ? LivenessVerdict::kAlive : LivenessVerdict::kEnded);
}

void LivenessCheck::OnFailed(CallFailure failure, const std::string&) {
  if (ended_) return;
  if (failure == CallFailure::kNotSent) return End(LivenessVerdict::kEnded);
  if (calls_ >= kMaxCalls) return End(LivenessVerdict::kUnsure);
  // Deferred, since the failed call is still on the stack.
  next_step_.Arm(Duration(0), [this] { Start(); });
}

void LivenessCheck::End(LivenessVerdict verdict) {
  if (std::exchange(ended_, true)) return;
  timeout_.Cancel();
  next_step_.Arm(Duration(0), [this, verdict] {
    handle_.reset();
    const Callback done = std::move(done_);
    done(verdict);
  });
}

}  // namespace millstair
