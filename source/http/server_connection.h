/// One connection of the HTTP server. Internal to http/.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "common/stats.h"
#include "http/exchange.h"
#include "http/http_server.h"
#include "runtime/serial_executor.h"

namespace millstair {

class ServerConnection;

/// State shared by the connections of one server.
struct HttpServerContext {
  HttpServerOptions options;
  std::shared_ptr<SerialExecutor> executor;
  /// Null once the server was stopped. Used on the executor only.
  RequestHandler* handler = nullptr;
  std::unique_ptr<StatsRegistry> own_stats;
  StatsRegistry* stats = nullptr;
  Counter* requests = nullptr;
  Counter* connections = nullptr;
  Counter* callers_disconnected = nullptr;
  Gauge* open_connections = nullptr;
  std::atomic<bool> draining{false};
  std::atomic<bool> closes_after_response{false};
  std::atomic<size_t> running{0};

  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::mutex mutex;
  /// Guarded by `mutex`.
  std::set<ServerConnection*> open;
  bool stopped = false;

  /// Counts and logs a refused request.
  void CountRefused(const std::string& reason);
};

/// Serves `socket` until either side closes it. Called on any thread.
void StartServerConnection(boost::asio::ip::tcp::socket socket,
                           std::shared_ptr<HttpServerContext> context);
/// Closes all connections of `context`.
void CloseServerConnections(HttpServerContext& context);

}  // namespace millstair
