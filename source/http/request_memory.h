/// Bounds the memory of the request bodies that a process has accepted: a body is read only once
/// its bytes fit, and counts until the last copy of it is destroyed.
///
/// Responses have a bound of their own (ResponseMemory). With one for both, bodies that fill it
/// would keep the answers from being read whose end alone frees them.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

#include "common/stats.h"

namespace millstair {

/// Thread-safe.
class RequestMemory {
 public:
  class Claim;

  /// A `bound` of 0 sets none. `stats` outlives this object, and may be null.
  explicit RequestMemory(size_t bound, StatsRegistry* stats = nullptr);

  /// Bytes of the bodies in memory, and of those that are being received.
  size_t total() const;
  /// Whether a body waits for memory.
  bool has_waiting() const;

 private:
  /// Whether `bytes` more fit. Called with `mutex_` held, as are the two below.
  bool Fits(size_t bytes) const;
  void Add(size_t bytes);
  void Subtract(size_t bytes);
  /// Gives memory to the claims that wait, in their order, as far as it goes.
  void GrantWaiting();

  const size_t bound_;
  Gauge* total_gauge_ = nullptr;
  Gauge* waiting_gauge_ = nullptr;
  mutable std::mutex mutex_;
  size_t total_ = 0;
  /// Part of the sum that belongs to large bodies.
  size_t large_ = 0;
  std::list<Claim*> waiting_;
};

/// The memory of one body; returned when the claim is destroyed.
class RequestMemory::Claim {
 public:
  /// Everything is granted if `memory` is null.
  explicit Claim(std::shared_ptr<RequestMemory> memory);
  ~Claim();
  Claim(const Claim&) = delete;
  Claim& operator=(const Claim&) = delete;

  /// Asks for `bytes`, once. If they don't fit, `granted` is called when they do, on any thread and
  /// with a lock held: it only wakes the owner.
  void Request(size_t bytes, std::function<void()> granted);
  bool granted() const;
  /// Adds to a granted claim without waiting; false if the bytes don't fit. Claims that wait while
  /// they hold memory could wait for each other.
  bool Grow(size_t bytes);

 private:
  friend class RequestMemory;

  const std::shared_ptr<RequestMemory> memory_;
  /// Guarded by the memory's mutex, like all below.
  size_t bytes_ = 0;
  bool granted_ = false;
  std::function<void()> on_granted_;
};

}  // namespace millstair
