#include "http/bounded_call.h"

#include <utility>

namespace millstair {
namespace {

constexpr size_t kMaxAnswerBytes = 1024 * 1024;

}  // namespace

BoundedCall::BoundedCall(Environment& environment, Duration limit, Callback done)
    : environment_(environment), timeout_(limit), done_(std::move(done)), timer_(environment) {}

void BoundedCall::Start(HttpCaller& http, const std::string& address, HttpRequest request) {
  timer_.Arm(timeout_, [this] { End(0); });
  handle_ = http.Start(address, std::move(request), *this);
}

void BoundedCall::OnBody(std::string bytes) {
  body_ += bytes;
  if (body_.size() <= kMaxAnswerBytes) return;
  body_.clear();
  End(0);
}

void BoundedCall::End(int status) {
  if (!done_) return;
  timer_.Cancel();
  handle_.reset();
  // Deferred, since the callback may destroy this object while its methods are on the stack.
  environment_.Schedule(Duration(0), [done = std::exchange(done_, nullptr), status,
                                      body = std::move(body_)] { done(status, body); });
}

}  // namespace millstair
