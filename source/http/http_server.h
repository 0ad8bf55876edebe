/// HTTP/1.1 front by Boost.Beast: listens on one address and hands whole requests to a handler.
///
/// Sockets live on the runtime's I/O threads, each connection on a strand of its own; the handler
/// and all response writers live on the node's serial executor. Requests of one connection are
/// served one after another; what a client sends ahead is read only up to a small bound.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/stats.h"
#include "common/time.h"
#include "http/exchange.h"
#include "runtime/runtime.h"

namespace millstair {

struct HttpServerOptions {
  /// Request line and headers.
  size_t max_header_bytes = 32 * 1024;
  size_t max_body_bytes = 16 * 1024 * 1024;
  /// Answer bytes held for a caller that reads slowly; the handler is told to wait beyond.
  size_t send_buffer_bytes = 256 * 1024;
  /// Further connections are closed at once.
  size_t max_connections = 8192;
  /// From the first byte of a request to the end of its head.
  Duration header_timeout = std::chrono::seconds(10);
  /// From the head to the end of the body.
  Duration body_timeout = std::chrono::seconds(60);
  /// Between two requests on a connection.
  Duration idle_timeout = std::chrono::seconds(75);
  /// Without progress of a write for this long the caller counts as gone.
  Duration write_timeout = std::chrono::seconds(60);
};

struct HttpServerContext;

/// Made and destroyed on the serial executor, or while it does not run. `stats` outlives the
/// runtime.
class HttpServer {
 public:
  /// Binds `address` ("ip:port"; port 0 picks a free one) and starts to serve. `handler` outlives
  /// the server; `stats` too, and may be null. InvalidArgument for an address that is no IP number,
  /// Unavailable if it can't be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Listen(
      Runtime& runtime, std::shared_ptr<SerialExecutor> executor, const std::string& address,
      RequestHandler& handler, HttpServerOptions options = {}, StatsRegistry* stats = nullptr);
  ~HttpServer();

  /// Where it listens, with the port picked.
  const std::string& address() const { return address_; }
  /// From now on each answer closes its connection, so that callers go elsewhere. New connections
  /// are still served.
  void BeginDrain();
  /// While set each answer closes its connection too, so that callers who keep theirs go elsewhere.
  void SetCloseAfterResponse(bool close);
  /// Requests whose answer has not been sent to its end.
  size_t running() const;
  /// Closes the listener and all connections; running requests are cut.
  void Stop();

 private:
  HttpServer(std::shared_ptr<HttpServerContext> context, std::string address);

  std::shared_ptr<HttpServerContext> context_;
  std::string address_;
};

}  // namespace millstair
