/// A small blocking HTTP/1.1 client on Boost.Beast for millstairctl, the demo and the bench.
///
/// Every call uses a connection of its own, so that no answer can belong to an earlier request.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "http/exchange.h"

namespace millstair {

/// Answer to a blocking call. With `failure` set the answer is missing or cut; what was read of it
/// is kept.
struct BlockingReply {
  std::optional<CallFailure> failure;
  /// Why the call failed.
  std::string reason;
  /// 0 without an answer.
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool complete() const { return !failure.has_value(); }
};

/// Gets the body bytes as they arrive. Returning false ends the call; the connection is closed.
using BodyCallback = std::function<bool(std::string_view bytes)>;

/// What sends calls; tests put a fake in its location.
class BlockingCaller {
 public:
  virtual ~BlockingCaller() = default;
  /// Sends `request` to `address` ("ip:port") and waits for the complete answer, at most `timeout`.
  virtual BlockingReply Call(const std::string& address, const HttpRequest& request,
                             Duration timeout, const BodyCallback& on_body) = 0;
  BlockingReply Call(const std::string& address, const HttpRequest& request, Duration timeout) {
    return Call(address, request, timeout, {});
  }
};

/// Thread-safe: a call shares nothing with others.
class BlockingClient : public BlockingCaller {
 public:
  using BlockingCaller::Call;
  BlockingReply Call(const std::string& address, const HttpRequest& request, Duration timeout,
                     const BodyCallback& on_body) override;
};

}  // namespace millstair
