#include "common/background_line_writer.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace millstair {

BackgroundLineWriter::BackgroundLineWriter(int descriptor)
    : descriptor_(descriptor), thread_([this] { Run(); }) {}

BackgroundLineWriter::~BackgroundLineWriter() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

bool BackgroundLineWriter::Add(std::string_view line) {
  bool idle = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queue_.size() + line.size() > kMaxQueuedBytes) return false;
    idle = queue_.empty() && !writing_;
    queue_ += line;
  }
  if (idle) changed_.notify_all();
  return true;
}

bool BackgroundLineWriter::Flush(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, limit, [this] { return queue_.empty() && !writing_; });
}

uint64_t BackgroundLineWriter::TakeFailed() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(failed_, 0);
}

void BackgroundLineWriter::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  std::string lines;
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (queue_.empty()) return;
    lines.swap(queue_);
    writing_ = true;
    lock.unlock();
    const uint64_t failed = Write(lines);
    lines.clear();
    lock.lock();
    failed_ += failed;
    writing_ = false;
    // Wakes `Flush`.
    if (queue_.empty()) changed_.notify_all();
  }
}

uint64_t BackgroundLineWriter::Write(std::string_view lines) const {
  while (!lines.empty()) {
    const ssize_t written = ::write(descriptor_, lines.data(), lines.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) break;
    lines.remove_prefix(static_cast<size_t>(written));
  }
  return static_cast<uint64_t>(std::count(lines.begin(), lines.end(), '\n'));
}

}  // namespace millstair
