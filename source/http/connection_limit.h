/// Bounds the number of connections that a process has open to its clients, over all its listeners.
///
/// At the bound a new connection takes the place of one that waits for its client. Connections on
/// which a request is being received go first, then those that rest between two requests, then
/// those whose client does not read its response; of each kind the one without progress for the
/// longest time. So clients that open connections and do nothing with them end each other, and a
/// client that sends its request is served. While no connection waits, each ends with its next
/// response, so that those that always have a request make room as well.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>

#include "common/stats.h"
#include "common/time.h"

namespace millstair {

/// What a connection waits for, in the order in which connections lose their place.
enum class ConnectionWait : uint8_t {
  kRequest,      ///< its first request, or the rest of one
  kNextRequest,  ///< the next request; an earlier one was answered
  kReader,       ///< space in the kernel for the rest of a response
};

struct ConnectionLimitOptions {
  /// Number of connections; 0 sets no bound.
  size_t limit = 0;
  /// A client that has read nothing of its response for this long may lose its connection.
  Duration slow_reader = std::chrono::seconds(5);
  /// The clock of the clients' progress; by default the process's monotonic clock.
  std::function<TimePoint()> now;
};

/// Thread-safe.
class ConnectionLimit : public std::enable_shared_from_this<ConnectionLimit> {
 public:
  class Place;

  /// `stats` outlives this object, and may be null.
  explicit ConnectionLimit(ConnectionLimitOptions options, StatsRegistry* stats = nullptr);

  /// A place for a new connection, which waits for its first request; null if all connections are
  /// being served. `close` ends the connection: it is called once at most, on any thread.
  std::unique_ptr<Place> Take(std::function<void()> close);
  /// Number of connections that have a place.
  size_t taken() const;
  /// Whether a new connection would get no place, so that one should end with its next response.
  bool exhausted() const;

 private:
  using Places = std::list<Place*>;
  static constexpr size_t kWaits = 3;

  /// Frees the place of the connection that comes first, and returns what ends it; null if none
  /// waits for its client. Called with `mutex_` held.
  std::function<void()> EvictOne();

  ConnectionLimitOptions options_;
  Counter* evicted_ = nullptr;
  mutable std::mutex mutex_;
  size_t taken_ = 0;
  /// By what they wait for, those without progress for the longest time first.
  std::array<Places, kWaits> waiting_;
};

/// The place of one connection; free again once it is destroyed or the connection was ended for
/// another. Thread-safe.
class ConnectionLimit::Place {
 public:
  explicit Place(std::shared_ptr<ConnectionLimit> limit, std::function<void()> close);
  ~Place();
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;

  /// The connection waits for its client, which has just made progress.
  void Await(ConnectionWait wait);
  /// The connection does not wait for its client, and keeps its place.
  void Serve();

 private:
  friend class ConnectionLimit;

  void Leave();

  const std::shared_ptr<ConnectionLimit> limit_;
  const std::function<void()> close_;
  /// Guarded by the limit's mutex, like all below.
  bool evicted_ = false;
  ConnectionWait wait_ = ConnectionWait::kRequest;
  std::optional<Places::iterator> position_;
  TimePoint progress_at_;
};

}  // namespace millstair
