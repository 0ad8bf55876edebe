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

bool BackgroundLineWriter::Add(std::string_view line, uint64_t lost) {
  bool idle = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queue_.text.size() + line.size() > kMaxQueuedBytes) return false;
    idle = queue_.text.empty() && !writing_;
    queue_.text += line;
    if (lost != 1) queue_.weighted.push_back({queue_.text.size(), lost});
  }
  if (idle) changed_.notify_all();
  return true;
}

bool BackgroundLineWriter::Flush(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, limit, [this] { return queue_.text.empty() && !writing_; });
}

uint64_t BackgroundLineWriter::TakeFailed() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(failed_, 0);
}

void BackgroundLineWriter::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  Lines lines;
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.text.empty(); });
    if (queue_.text.empty()) return;
    std::swap(lines, queue_);
    writing_ = true;
    lock.unlock();
    const uint64_t failed = Write(lines);
    lines.text.clear();
    lines.weighted.clear();
    lock.lock();
    failed_ += failed;
    writing_ = false;
    // Wakes `Flush`.
    if (queue_.text.empty()) changed_.notify_all();
  }
}

uint64_t BackgroundLineWriter::Write(const Lines& lines) const {
  std::string_view rest = lines.text;
  while (!rest.empty()) {
    const ssize_t written = ::write(descriptor_, rest.data(), rest.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) break;
    rest.remove_prefix(static_cast<size_t>(written));
  }
  auto lost = static_cast<uint64_t>(std::count(rest.begin(), rest.end(), '\n'));
  const size_t position = lines.text.size() - rest.size();
  for (const WeightedLine& line : lines.weighted) {
    // Its newline is counted above.
    if (line.end > position) lost += line.lost - 1;
  }
  return lost;
}

}  // namespace millstair
