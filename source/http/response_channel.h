/// Passes response bytes from a response writer (serial executor) to its connection (I/O strand).
#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace millstair {

/// Content that the connection takes from the channel.
struct ChannelContent {
  std::string bytes;
  /// Nothing follows `bytes`.
  bool finished = false;
  /// The response was aborted; `bytes` is empty.
  bool aborted = false;
  /// Whether the connection may carry another request afterwards.
  bool keep_alive = false;
};

/// Thread-safe. One writer, one connection.
class ResponseChannel {
 public:
  /// `wake` is called on the writer's thread whenever the content changes.
  ResponseChannel(size_t capacity, std::function<void()> wake)
      : capacity_(capacity), wake_(std::move(wake)) {}

  void Append(std::string_view bytes) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (content_.finished || content_.aborted) return;
      content_.bytes += bytes;
      unsent_ += bytes.size();
    }
    wake_();
  }

  void Finish(bool keep_alive) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (content_.aborted) return;
      content_.finished = true;
      content_.keep_alive = keep_alive;
    }
    wake_();
  }

  void Abort() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (content_.finished) return;
      content_.aborted = true;
      content_.bytes.clear();
    }
    wake_();
  }

  /// Free space for the writer. If 0, a later `Sent` reports when there is space again.
  size_t FreeBytes() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (unsent_ < capacity_) return capacity_ - unsent_;
    writer_waiting_ = true;
    return 0;
  }

  /// Takes the current content; `finished` and `aborted` stay set.
  ChannelContent Take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ChannelContent taken = content_;
    content_.bytes.clear();
    return taken;
  }

  /// Records that `count` bytes were sent. True if the writer was waiting for space that is now
  /// free.
  bool Sent(size_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    unsent_ -= count;
    const bool notify = writer_waiting_ && unsent_ < capacity_;
    if (notify) writer_waiting_ = false;
    return notify;
  }

 private:
  const size_t capacity_;
  const std::function<void()> wake_;
  std::mutex mutex_;
  ChannelContent content_;
  size_t unsent_ = 0;
  bool writer_waiting_ = false;
};

}  // namespace millstair
