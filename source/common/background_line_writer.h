/// Writes lines to a descriptor on a thread of its own. Internal to the event log.
///
/// A regular file always polls as writable, yet a write to it may wait for the disk. The threads
/// that log must not wait with it, so they only append to a bounded queue.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "common/time.h"

namespace millstair {

/// Thread-safe. Lines are written in the order in which they were added.
class BackgroundLineWriter {
 public:
  /// Bytes that may wait for the descriptor: the largest burst that the rate limit of the event log
  /// allows, 2,000 lines of up to 500 bytes. As much again may be with the thread that writes.
  static constexpr size_t kMaxQueuedBytes = 1'000'000;

  /// `descriptor` stays open while this object exists. Throws std::system_error if the thread
  /// cannot be started.
  explicit BackgroundLineWriter(int descriptor);
  /// Writes all queued lines, however long that takes, and ends the thread.
  ~BackgroundLineWriter();
  BackgroundLineWriter(const BackgroundLineWriter&) = delete;
  BackgroundLineWriter& operator=(const BackgroundLineWriter&) = delete;

  /// Queues `line`, which ends with a newline. Returns false, without waiting for the descriptor,
  /// if the queue has no room for it. `lost` is what `TakeFailed` counts if the descriptor refuses
  /// the line: for a line that reports dropped lines, their number, so that it is reported again.
  bool Add(std::string_view line, uint64_t lost = 1);
  /// Waits until the lines added before are written, at most `limit`; returns whether they are.
  bool Flush(Duration limit);
  /// Number of lines that were lost because the descriptor refused them (disk full) since the last
  /// call.
  uint64_t TakeFailed();

 private:
  /// A queued line that counts as another number of lost lines than one.
  struct WeightedLine {
    /// Position after its last byte in the text.
    size_t end;
    uint64_t lost;
  };
  struct Lines {
    std::string text;
    std::vector<WeightedLine> weighted;
  };

  void Run();
  /// Writes `lines`; returns how many were lost because they were not written completely.
  uint64_t Write(const Lines& lines) const;

  const int descriptor_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Lines queue_;
  /// The thread writes lines that it took from the queue.
  bool writing_ = false;
  bool stopping_ = false;
  uint64_t failed_ = 0;
  std::thread thread_;
};

}  // namespace millstair
