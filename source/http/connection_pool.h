/// Pool of keep-alive connections to back ends, by address. Internal to http/.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/stats.h"
#include "http/beast_http_caller.h"

namespace millstair {

/// Counters of one caller.
struct HttpCallerStats {
  explicit HttpCallerStats(StatsRegistry& stats);
  Counter& calls;
  Counter& connections_opened;
  Counter& connections_reused;
  /// Idle connections that the back end closed or sent bytes on.
  Counter& connections_stale;
  /// Responses with the id of another call.
  Counter& foreign_answers;
  Counter& failed_not_sent;
  Counter& failed_unknown;
  Counter& failed_cut;
};

/// Thread-safe.
class HttpConnectionPool : public std::enable_shared_from_this<HttpConnectionPool> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  HttpConnectionPool(boost::asio::io_context& io, HttpCallerOptions options, StatsRegistry* stats);

  /// The most recently used connection that is still healthy, if any.
  std::optional<Socket> Take(const std::string& address);
  /// Returns a connection whose last response was read to its end.
  void Put(const std::string& address, Socket socket);
  /// Closes all connections and accepts no more.
  void Close();

  const HttpCallerOptions& options() const { return options_; }
  HttpCallerStats& stats() { return stats_; }
  boost::asio::io_context& io() { return io_; }

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct Idle {
    Socket socket;
    SteadyTime since;
  };

  void ArmSweep();
  void Sweep();

  boost::asio::io_context& io_;
  const HttpCallerOptions options_;
  std::unique_ptr<StatsRegistry> own_stats_;
  HttpCallerStats stats_;
  std::mutex mutex_;
  /// Guarded by `mutex_`, oldest first.
  std::map<std::string, std::vector<Idle>> idle_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_armed_ = false;
  bool closed_ = false;
};

}  // namespace millstair
