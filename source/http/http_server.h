/// HTTP/1.1 server on Boost.Beast: listens on one address and passes complete requests to a
/// handler.
///
/// Sockets live on the runtime's I/O threads, each connection on its own strand; the handler and
/// all response writers live on the node's serial executor. Requests of one connection are served
/// one after another; pipelined bytes are read ahead only up to a small limit.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/stats.h"
#include "common/time.h"
#include "http/connection_limit.h"
#include "http/exchange.h"
#include "http/held_bytes.h"
#include "http/request_memory.h"
#include "runtime/runtime.h"

namespace millstair {

struct HttpServerOptions {
  /// Request line and headers.
  size_t max_header_bytes = 32 * 1024;
  size_t max_body_bytes = 16 * 1024 * 1024;
  /// Response bytes buffered for a slow caller; beyond it WritableBytes() is 0.
  size_t send_buffer_bytes = 256 * 1024;
  /// Bounds the connections; may be null. A further one is closed immediately if none gives way.
  std::shared_ptr<ConnectionLimit> connections;
  /// Bytes that the kernel takes for a connection before they are read; 0 leaves it the choice.
  /// More while a large body is read.
  size_t receive_buffer_bytes = 0;
  /// From the first byte of a request to the end of its head.
  Duration header_timeout = std::chrono::seconds(10);
  /// From the head to the end of the body.
  Duration body_timeout = std::chrono::seconds(60);
  /// Between two requests on a connection.
  Duration idle_timeout = std::chrono::seconds(75);
  /// A caller that reads nothing for longer counts as disconnected.
  Duration write_timeout = std::chrono::seconds(60);
  /// Counts what is held for callers; may be null.
  std::shared_ptr<HeldBytes> held_bytes;
  /// Bounds the bodies of requests; may be null.
  std::shared_ptr<RequestMemory> request_memory;
  /// A request whose body waits for memory for longer is refused.
  Duration memory_timeout = std::chrono::seconds(2);
  /// Header whose value identifies a request in the log; none if empty.
  std::string request_id_header;
};

struct HttpServerContext;

/// Created and destroyed on the serial executor, or while it does not run. `stats` outlives the
/// runtime.
class HttpServer {
 public:
  /// Binds `address` ("ip:port"; port 0 picks a free one) and starts to serve. `handler` outlives
  /// the server; `stats` may be null. InvalidArgument for an address without a numeric IP,
  /// Unavailable if it can't be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Listen(
      Runtime& runtime, std::shared_ptr<SerialExecutor> executor, const std::string& address,
      RequestHandler& handler, HttpServerOptions options = {}, StatsRegistry* stats = nullptr);
  ~HttpServer();

  /// The listening address with the actual port.
  const std::string& address() const { return address_; }
  /// Closes each connection after its next response, so that callers move to other servers. New
  /// connections are still served.
  void BeginDrain();
  /// While set, closes each connection after its next response, as during a drain.
  void SetCloseAfterResponse(bool close);
  /// Number of requests whose response has not been fully sent.
  size_t running() const;
  /// Closes the listener and all connections; aborts running requests.
  void Stop();

 private:
  HttpServer(std::shared_ptr<HttpServerContext> context, std::string address);

  std::shared_ptr<HttpServerContext> context_;
  std::string address_;
};

}  // namespace millstair
