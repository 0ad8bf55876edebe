/// A small blocking HTTP/1.1 client on Boost.Beast for millstairctl, the demo and the bench.
///
/// Each call uses a new connection, so that a response can't belong to an earlier request.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "http/exchange.h"

namespace millstair {

/// Result of a blocking call. If `failure` is set, the response is missing or truncated; the part
/// that was read is retained.
struct BlockingReply {
  std::optional<CallFailure> failure;
  /// Why the call failed; for people.
  std::string reason;
  /// 0 without a response.
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool complete() const { return !failure.has_value(); }
};

/// Receives body bytes as they arrive. Returning false ends the call and closes the connection.
using BodyCallback = std::function<bool(std::string_view bytes)>;

/// Interface of the client; replaced by a fake in tests.
class BlockingCaller {
 public:
  virtual ~BlockingCaller() = default;
  /// Sends `request` to `address` ("ip:port") and waits for the complete response, at most
  /// `timeout`.
  virtual BlockingReply Call(const std::string& address, const HttpRequest& request,
                             Duration timeout, const BodyCallback& on_body) = 0;
  BlockingReply Call(const std::string& address, const HttpRequest& request, Duration timeout) {
    return Call(address, request, timeout, {});
  }
};

/// Thread-safe.
class BlockingClient : public BlockingCaller {
 public:
  using BlockingCaller::Call;
  BlockingReply Call(const std::string& address, const HttpRequest& request, Duration timeout,
                     const BodyCallback& on_body) override;
};

}  // namespace millstair
