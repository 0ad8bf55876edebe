/// Passes response bytes from a response writer (serial executor) to its connection (I/O strand).
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "http/held_bytes.h"

namespace millstair {

/// Content that the connection takes from the channel.
struct ChannelContent {
  std::string bytes;
  /// The writer has finished: nothing follows once `bytes` is empty.
  bool finished = false;
  /// The response was aborted; `bytes` is empty.
  bool aborted = false;
  /// Whether the connection may carry another request afterwards.
  bool keep_alive = false;
};

/// Where the content of a channel is counted.
struct ChannelCount {
  /// Null if it is not counted.
  std::shared_ptr<HeldBytes> held;
  /// Names the request in the log.
  std::string request;
  /// Called on any thread when the reader is to be cut for lack of memory; the connection then
  /// calls TakeCut.
  std::function<void()> cut;
};

/// Thread-safe. One writer, one connection.
class ResponseChannel {
 public:
  /// `wake` is called on the writer's thread whenever the content changes.
  ResponseChannel(size_t capacity, std::function<void()> wake, ChannelCount count = {})
      : capacity_(capacity),
        wake_(std::move(wake)),
        reader_(std::move(count.held), std::move(count.request), std::move(count.cut)) {}

  void Append(std::string bytes);
  void Finish(bool keep_alive);
  void Abort();

  /// Free space for the writer. If 0, a later `Sent` reports when there is space again. While
  /// memory is short, there is space only for a reader that has read everything. There is none, and
  /// no report, once the response or its connection has ended.
  size_t FreeBytes();

  /// See HeldBytes::HasRoomFor.
  bool HasRoomFor(size_t bytes) const { return reader_.HasRoomFor(bytes); }

  /// Takes the next piece of the content; `finished` and `aborted` stay set. The bytes count until
  /// they are returned to `Release`.
  ChannelContent Take();
  /// Records that `count` more bytes of the taken piece were sent. True if the writer was waiting
  /// for space that is now free.
  bool Sent(size_t count);
  /// The taken piece of `count` bytes has been freed.
  void Release(size_t count) { reader_.Release(count); }
  /// The connection has ended: frees the content and drops what is appended later.
  void Discard();
  /// See HeldBytes::Reader::TakeCut.
  std::optional<SlowReader> TakeCut() { return reader_.TakeCut(); }

 private:
  /// Whether bytes that are appended are dropped.
  bool IsClosed() const;
  size_t EffectiveCapacity() const;
  /// Frees the pieces that were not taken.
  void Clear();

  const size_t capacity_;
  const std::function<void()> wake_;
  HeldBytes::Reader reader_;
  std::mutex mutex_;
  /// Guarded by `mutex_`, like all below. In the order of the response.
  std::deque<std::string> pieces_;
  /// Its `bytes` are not used.
  ChannelContent state_;
  size_t unsent_ = 0;
  bool writer_waiting_ = false;
  bool discarded_ = false;
};

}  // namespace millstair
