#include "http/response_channel.h"

#include <utility>

namespace millstair {
namespace {

/// Small pieces are joined up to this size, so that they are sent with one write.
constexpr size_t kJoinedBytes = 64 * 1024;

}  // namespace

void ResponseChannel::Append(std::string bytes) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (IsClosed()) return;
    unsent_ += bytes.size();
    reader_.Add(bytes.size());
    // A large body is moved, since a copy would take its memory twice.
    if (!pieces_.empty() && pieces_.back().size() + bytes.size() <= kJoinedBytes) {
      pieces_.back() += bytes;
    } else {
      pieces_.push_back(std::move(bytes));
    }
  }
  wake_();
}

void ResponseChannel::Finish(bool keep_alive) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.aborted) return;
    state_.finished = true;
    state_.keep_alive = keep_alive;
  }
  wake_();
}

void ResponseChannel::Abort() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.finished) return;
    state_.aborted = true;
    Clear();
  }
  wake_();
}

void ResponseChannel::Discard() {
  const std::lock_guard<std::mutex> lock(mutex_);
  discarded_ = true;
  Clear();
}

void ResponseChannel::Clear() {
  for (const std::string& piece : pieces_) reader_.Release(piece.size());
  pieces_.clear();
}

bool ResponseChannel::IsClosed() const { return state_.finished || state_.aborted || discarded_; }

size_t ResponseChannel::EffectiveCapacity() const {
  return reader_.UnderPressure() ? 1 : capacity_;
}

size_t ResponseChannel::FreeBytes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (IsClosed()) return 0;
  const size_t capacity = EffectiveCapacity();
  if (unsent_ < capacity) return capacity_ - unsent_;
  writer_waiting_ = true;
  return 0;
}

ChannelContent ResponseChannel::Take() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ChannelContent taken = state_;
  if (pieces_.empty()) return taken;
  taken.bytes = std::move(pieces_.front());
  pieces_.pop_front();
  return taken;
}

bool ResponseChannel::Sent(size_t count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  unsent_ -= count;
  reader_.NoteProgress();
  const bool notify = writer_waiting_ && unsent_ < EffectiveCapacity();
  if (notify) writer_waiting_ = false;
  return notify;
}

}  // namespace millstair
