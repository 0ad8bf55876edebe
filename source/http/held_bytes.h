/// Counts the bytes that a process holds for HTTP exchanges: responses of back ends that were not
/// passed on yet, responses that their callers have not read, and requests being sent.
///
/// Thread-safe: connections count on their I/O strands, decision code on the serial executor. Each
/// count belongs to an object that returns its bytes when it is destroyed, so that no way of
/// ending an exchange leaves bytes counted. Decisions by the count are made by ResponseMemory.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "common/stats.h"
#include "common/time.h"

namespace millstair {

struct HeldBytesOptions {
  /// Bound on the sum of all counts; 0 sets no bound.
  size_t bound = 0;
  /// A reader may be cut for lack of memory only if it has read nothing for this long.
  Duration slow_reader = std::chrono::seconds(5);
  /// The clock of the readers' progress; by default the process's monotonic clock.
  std::function<TimePoint()> now;
};

/// A reader that is being cut.
struct SlowReader {
  size_t bytes = 0;
  /// Time since the reader last read, or since its first byte was held.
  Duration stalled{0};
  std::string request;
};

class HeldBytes {
 public:
  class Hold;
  class Reader;

  /// Responses up to this size may use the last quarter of the bound.
  static constexpr size_t kSmallResponseBytes = 64 * 1024;

  /// `stats` outlives this object, and may be null.
  explicit HeldBytes(HeldBytesOptions options, StatsRegistry* stats = nullptr);

  size_t bound() const { return options_.bound; }
  /// Share of the bound above which only readers that keep up get further bytes.
  size_t pressure_threshold() const { return options_.bound / 4 * 3; }
  /// What a response counts that alone exceeds `pressure_threshold()`, where others must go on.
  size_t share() const { return options_.bound / 4; }
  size_t total() const { return total_.load(std::memory_order_relaxed); }
  /// Part of `bytes` held for one response that CappedTotal leaves out: what exceeds `share()` if
  /// the response alone exceeds `pressure_threshold()`.
  size_t ExcessOf(size_t bytes) const { return bytes > pressure_threshold() ? bytes - share() : 0; }
  /// The sum without the excess of readers, so that a single response near or above the bound does
  /// not count as a lack of memory for small ones.
  size_t CappedTotal() const;
  bool UnderPressure() const { return bound() > 0 && total() >= pressure_threshold(); }
  bool AtBound() const { return bound() > 0 && total() >= bound(); }

  /// Whether a response of `bytes` that this process has made itself may be held: a large one up to
  /// `pressure_threshold()`, a small one up to the bound. If not, asks for the cut of slow readers
  /// that would make room for it.
  bool HasRoomFor(size_t bytes);
  /// Asks for the cut of the reader that has read nothing for the longest time, if that is at least
  /// the limit of a slow reader. Returns the bytes that its cut will free; 0 if there is none.
  size_t CutSlowestReader();
  /// Bytes of readers whose cut was asked for and that are still counted.
  size_t BytesBeingCut() const;
  /// Counts the stall of all readers from now on. Called after the process was suspended, when
  /// progress that sockets have made is not recorded yet.
  void RestartStallTimes();

 private:
  struct Entry {
    size_t bytes = 0;
    TimePoint progress_at;
    bool being_cut = false;
    std::string request;
    std::function<void()> cut;
  };

  void Add(size_t bytes);
  void Subtract(size_t bytes);
  /// Changes a reader's bytes. Called with `mutex_` held.
  void SetBytes(Entry& entry, size_t bytes);
  Duration StallOf(const Entry& entry, TimePoint now) const;

  HeldBytesOptions options_;
  Gauge* total_gauge_ = nullptr;
  Counter* cuts_ = nullptr;
  std::atomic<size_t> total_{0};
  /// Part of the sum that CappedTotal leaves out.
  std::atomic<size_t> excess_{0};
  mutable std::mutex mutex_;
  /// Guarded by `mutex_`, by number of the reader.
  std::map<uint64_t, Entry> readers_;
  uint64_t last_reader_ = 0;
  TimePoint stalls_count_from_;
};

/// A count that returns its bytes when it is destroyed. Not thread-safe by itself.
class HeldBytes::Hold {
 public:
  /// Counts nothing if `held` is null.
  explicit Hold(std::shared_ptr<HeldBytes> held, size_t bytes = 0);
  ~Hold();
  Hold(const Hold&) = delete;
  Hold& operator=(const Hold&) = delete;

  /// Replaces the count.
  void Set(size_t bytes);
  size_t bytes() const { return bytes_; }

 private:
  const std::shared_ptr<HeldBytes> held_;
  size_t bytes_ = 0;
};

/// The bytes held for the reader of one response, and its progress. Thread-safe.
class HeldBytes::Reader {
 public:
  /// `request` names the request in the log. `cut` is called at most once between two steps of
  /// progress, on any thread and with no lock held; the reader is cut by TakeCut. Counts nothing if
  /// `held` is null.
  Reader(std::shared_ptr<HeldBytes> held, std::string request, std::function<void()> cut);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  void Add(size_t bytes);
  /// Frees `bytes` that were added.
  void Release(size_t bytes);
  /// The reader has read some bytes. Withdraws a cut that was not taken.
  void NoteProgress();
  /// Called before the reader is cut: counts the cut, or returns nullopt if the reader has read in
  /// the meantime.
  std::optional<SlowReader> TakeCut();
  bool UnderPressure() const { return held_ != nullptr && held_->UnderPressure(); }
  /// See HeldBytes::HasRoomFor.
  bool HasRoomFor(size_t bytes) const { return held_ == nullptr || held_->HasRoomFor(bytes); }

 private:
  const std::shared_ptr<HeldBytes> held_;
  uint64_t number_ = 0;
};

}  // namespace millstair
