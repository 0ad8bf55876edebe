/// HttpCaller on Boost.Beast: pooled keep-alive connections towards back ends.
///
/// Each call runs on an I/O strand of its own; observers and handles live on the serial executor.
/// A connection goes back to the pool only after its answer was read to the end and nothing
/// followed it, and is looked at again before its next use, so that a late or unread answer never
/// reaches another call. Each request names its call (`Millstair-Call-Id`), and an answer that
/// names another one is refused; back ends that don't send the name back are trusted to answer each
/// request once. An answer that ends by the close of the connection counts as cut, since
/// it can't be told from a whole one.
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
  /// Without progress of the write for this long the call fails.
  Duration write_timeout = std::chrono::seconds(30);
  /// Without a byte of the answer for this long the call fails. Pauses of the observer don't count.
  Duration read_timeout = std::chrono::seconds(120);
  /// An unused connection is closed after this long.
  Duration pool_idle_timeout = std::chrono::seconds(20);
  size_t max_idle_per_address = 64;
  size_t max_header_bytes = 64 * 1024;
  /// Most bytes of an answer that are read at once.
  size_t read_bytes = 16 * 1024;
  /// Each request names its call; off towards back ends with names of their own.
  bool call_ids = true;
  /// An answer without a length is whole if its connection is closed in order; else it counts as
  /// cut.
  bool until_close = false;
};

class HttpConnectionPool;

/// Made and used on the serial executor.
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
