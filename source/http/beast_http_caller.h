/// HttpCaller on Boost.Beast with pooled keep-alive connections to back ends.
///
/// Each call runs on its own I/O strand; observers and handles live on the serial executor. A
/// connection returns to the pool only after its response was read to the end with no bytes after
/// it, and is checked again before reuse, so that a late or unread response never reaches another
/// call. A call that is cancelled or fails resets its connection, so that bytes of the request that
/// the back end has not received yet are never delivered. The connections kept for an address are
/// closed when a call to it got no response. Each request carries a call id (`Millstair-Call-Id`),
/// and a response with a different id is rejected. Where call ids are off, requests with a
/// `request_id` are not repeated on the same connection for a while; otherwise back ends that do
/// not echo the id are trusted to respond once per request. Unless `until_close` is set, a response
/// delimited by the close of its connection counts as truncated, since it can't be distinguished
/// from a complete one.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "common/stats.h"
#include "common/time.h"
#include "http/exchange.h"
#include "runtime/runtime.h"

namespace millstair {

struct HttpCallerOptions {
  Duration connect_timeout = std::chrono::seconds(2);
  /// Maximum time to write the request.
  Duration write_timeout = std::chrono::seconds(30);
  /// Maximum time for the response head, and for each read of the body. Pauses by the observer
  /// don't count. Also the maximum time without progress while the request is written.
  Duration read_timeout = std::chrono::seconds(120);
  /// Idle connections are closed after this time.
  Duration pool_idle_timeout = std::chrono::seconds(20);
  size_t max_idle_per_address = 64;
  /// A request that was not answered with success is not repeated on the same connection for this
  /// long: a faulty back end may send the answer again, as late as this.
  Duration surplus_window = std::chrono::seconds(2);
  /// A call that ends without a byte of a response after less than this doesn't show that its back
  /// end is silent; most such calls are cancelled because their callers left.
  Duration min_silence = std::chrono::milliseconds(100);
  /// Also bounds the trailers of a response, and the size and extension of a chunk.
  size_t max_header_bytes = 64 * 1024;
  /// Maximum bytes of a response that are read at once.
  size_t read_bytes = 16 * 1024;
  /// Sends a call id with each request; off for back ends that use the header themselves.
  bool call_ids = true;
  /// Accepts a response without a length as complete if its connection is closed without an error;
  /// if false, such a response counts as truncated.
  bool until_close = false;
};

class HttpConnectionPool;

/// Created and used on the serial executor.
class BeastHttpCaller : public HttpCaller {
 public:
  /// `stats` outlives the runtime, and may be null.
  BeastHttpCaller(Runtime& runtime, std::shared_ptr<SerialExecutor> executor,
                  HttpCallerOptions options = {}, StatsRegistry* stats = nullptr);
  ~BeastHttpCaller() override;

  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override;

 private:
  Runtime& runtime_;
  std::shared_ptr<SerialExecutor> executor_;
  std::shared_ptr<HttpConnectionPool> pool_;
};

}  // namespace millstair
