/// Bounds the memory of the requests that a process has accepted: a body is read only once its
/// bytes fit, and counts until the last copy of it is destroyed. The head of a request counts until
/// it was answered. The larger a request, the smaller the part of the bound that it may use, so
/// that small ones are served beside large ones.
///
/// What has been received of a head, and of a body before it is parsed, has a part of its own.
///
/// Responses have a bound of their own (ResponseMemory). With one for both, bodies that fill it
/// would keep the answers from being read whose end alone frees them.
///
/// A body that is being received keeps its memory as long as nobody else needs it. When a claim
/// does not fit, the senders are cut that have sent next to nothing for the longest time.
#pragma once

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

struct RequestMemoryOptions {
  /// Bound on the sum of all claims for requests; input may take an eighth of it beside. 0 sets no
  /// bound.
  size_t bound = 0;
  /// A sender may be cut for lack of memory only if it has made no progress for this long.
  Duration slow_sender = std::chrono::seconds(5);
  /// The clock of the senders' progress; by default the process's monotonic clock.
  std::function<TimePoint()> now;
};

enum class ClaimKind : uint8_t {
  kRequest,  ///< a head or a body
  kInput,    ///< bytes received that are not parsed yet
};

/// Thread-safe.
class RequestMemory {
 public:
  class Claim;

  /// `stats` outlives this object, and may be null.
  explicit RequestMemory(RequestMemoryOptions options, StatsRegistry* stats = nullptr);

  /// Bytes of the requests in memory, and of those that are being received.
  size_t total() const;
  /// Whether a body waits for memory.
  bool has_waiting() const;

 private:
  /// Whether a claim may grow from `held` to `bytes`. Called with `mutex_` held, like all below.
  bool Fits(ClaimKind kind, size_t held, size_t bytes) const;
  /// The part of the bound that a claim of `bytes` may use.
  size_t LimitOf(size_t bytes) const;
  void Change(ClaimKind kind, size_t held, size_t bytes);
  /// Gives memory to the claims that wait, in their order, as far as it goes.
  void GrantWaiting();
  /// Cuts the slowest senders until `bytes` will be free, as far as there are slow ones.
  void CutSlowSenders(size_t bytes);

  RequestMemoryOptions options_;
  Gauge* total_gauge_ = nullptr;
  Gauge* waiting_gauge_ = nullptr;
  Counter* cuts_ = nullptr;
  mutable std::mutex mutex_;
  /// Sum of the claims of kind kRequest, and the part of it that belongs to large bodies.
  size_t total_ = 0;
  size_t large_ = 0;
  /// Sum of the claims of kind kInput.
  size_t input_ = 0;
  std::list<Claim*> waiting_;
  /// Claims of bodies that are being received, those without progress for the longest time first.
  std::list<Claim*> receiving_;
};

/// The memory of one body, head or input; returned when the claim is destroyed.
class RequestMemory::Claim {
 public:
  /// Everything is granted if `memory` is null.
  explicit Claim(std::shared_ptr<RequestMemory> memory, ClaimKind kind = ClaimKind::kRequest);
  ~Claim();
  Claim(const Claim&) = delete;
  Claim& operator=(const Claim&) = delete;

  /// Asks for `bytes`, once. If they don't fit, `granted` is called when they do, on any thread and
  /// with a lock held: it only wakes the owner.
  void Request(size_t bytes, std::function<void()> granted);
  bool granted() const;
  /// Cuts senders that have become slow since the claim began to wait.
  void AskForRoom();
  /// Changes the size of a claim that does not wait to `bytes`; false if they don't fit. Claims
  /// that wait while they hold memory could wait for each other.
  bool Resize(size_t bytes);

  /// From now on the sender may be cut for lack of memory. `cut` is called like `granted`, and only
  /// wakes the owner, which then asks `is_cut`.
  void BeginReceiving(std::function<void()> cut);
  /// `bytes` more have arrived.
  void NoteReceived(size_t bytes);
  /// The body is whole.
  void EndReceiving();
  /// Whether the memory is needed and the sender has made no progress.
  bool is_cut() const;

 private:
  friend class RequestMemory;

  const std::shared_ptr<RequestMemory> memory_;
  const ClaimKind kind_;
  /// Guarded by the memory's mutex, like all below.
  size_t bytes_ = 0;
  bool waits_ = false;
  std::function<void()> on_granted_;
  /// Its place among those that are being received.
  std::optional<std::list<Claim*>::iterator> receiving_;
  std::function<void()> on_cut_;
  bool is_cut_ = false;
  TimePoint progress_at_;
  /// Received since `progress_at_`.
  size_t received_ = 0;
};

}  // namespace millstair
