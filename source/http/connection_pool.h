/// Pool of keep-alive connections to back ends, by address. Connections to an address that has
/// fallen silent are not reused: the packets of all of them may be lost, and a new connection shows
/// that within the connect time-out, before a byte of a request was written. Internal to http/.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
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
  /// Idle connections closed because the back end was silent.
  Counter& connections_silent;
  /// Responses with the id of another call.
  Counter& foreign_answers;
  Counter& failed_not_sent;
  Counter& failed_unknown;
  Counter& failed_cut;
};

/// The requests whose answer on a connection lets them be sent again. A faulty back end may send
/// such an answer twice, and the second copy would pass for the answer to the repeat.
class RepeatableRequests {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  void Add(const std::string& request_id, SteadyTime now);
  /// Whether `request_id` was added at `since` or later. May be true for another request.
  bool Contains(const std::string& request_id, SteadyTime since) const;

 private:
  struct Entry {
    size_t hash;
    SteadyTime answered_at;
  };
  /// Oldest first.
  std::deque<Entry> entries_;
};

/// A connection whose last response was read to its end.
struct KeptConnection {
  boost::asio::ip::tcp::socket socket;
  RepeatableRequests repeatable;
};

/// Thread-safe.
class HttpConnectionPool : public std::enable_shared_from_this<HttpConnectionPool> {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  HttpConnectionPool(boost::asio::io_context& io, HttpCallerOptions options, StatsRegistry* stats);

  /// The most recently used connection that is still healthy, if any. One on which the request
  /// `request_id` may be repeated is left to others for `HttpCallerOptions::surplus_window`.
  std::optional<KeptConnection> Take(const std::string& address, const std::string& request_id);
  void Put(const std::string& address, KeptConnection connection);
  /// A byte of a response from `address` arrived.
  void RecordResponse(const std::string& address);
  /// A call that began to write or to connect at `since` ended without a byte of a response. Closes
  /// the idle connections to `address`, unless the call was short or others got responses since.
  void RecordNoResponse(const std::string& address, SteadyTime since);
  /// Closes all connections and accepts no more.
  void Close();

  const HttpCallerOptions& options() const { return options_; }
  HttpCallerStats& stats() { return stats_; }
  boost::asio::io_context& io() { return io_; }

 private:
  struct Idle {
    KeptConnection connection;
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
  /// Guarded by `mutex_`: when the latest response arrived, for addresses with idle connections or
  /// recent responses.
  std::map<std::string, SteadyTime> responded_at_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_armed_ = false;
  bool closed_ = false;
};

}  // namespace millstair
