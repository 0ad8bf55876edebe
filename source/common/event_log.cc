#include "common/event_log.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <system_error>

#include "absl/container/flat_hash_map.h"
#include "common/background_line_writer.h"
#include "fmt/chrono.h"

namespace millstair {
namespace {

constexpr EventDescription kCatalogue[] = {
#define MILLSTAIR_EVENT(name, number, level, meaning) \
  {EventId::k##name, #name, EventLevel::k##level, meaning},
#include "common/event_ids.inc"
#undef MILLSTAIR_EVENT
};

constexpr int kDisabled = 100;
std::atomic<int> threshold = static_cast<int>(EventLevel::kInfo);

std::string_view LevelName(EventLevel level) {
  constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning", "error"};
  return kNames[static_cast<size_t>(level)];
}

/// Writes of up to this size to a pipe that polls as writable never block.
constexpr size_t kMaxLineBytes = 4096;

/// Time that the end of the process waits for a file to take the lines still queued.
constexpr std::chrono::seconds kFlushLimit{5};

bool IsRegularFile(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

/// Writes a line unless the descriptor is not writable; returns whether it was written.
bool WriteUnlessFull(int descriptor, std::string_view line) {
  pollfd ready{descriptor, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  ssize_t written = 0;
  do {
    written = ::write(descriptor, line.data(), line.size());
  } while (written < 0 && errno == EINTR);
  return written > 0;
}

/// Token bucket that limits the rate of lines. The last part of the budget is reserved for warnings
/// and errors, so that a flood of successes never hides a failure.
class LineBudget {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  bool Take(EventLevel level, SteadyTime now) {
    const double seconds = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    lines_ = std::min(kMaxLines, lines_ + seconds * kLinesPerSecond);
    const double reserved = level >= EventLevel::kWarning ? 0 : kReservedForFailures;
    if (lines_ - reserved < 1) return false;
    lines_ -= 1;
    return true;
  }

 private:
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kMaxLines = 2000;
  static constexpr double kReservedForFailures = 500;
  double lines_ = kMaxLines;
  SteadyTime refilled_ = std::chrono::steady_clock::now();
};

std::string FormatLine(const EventDescription& event, std::string_view text) {
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  std::string line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={} name={} {}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds,
                  LevelName(event.level), static_cast<int>(event.id), event.name, text);
  std::replace(line.begin(), line.end(), '\n', ' ');
  if (line.size() >= kMaxLineBytes) line.resize(kMaxLineBytes - 1);
  line.push_back('\n');
  return line;
}

/// The descriptor of the log and what is not written yet. Thread-safe.
class EventSink {
 public:
  void SetDescriptor(int descriptor) {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_writer_.reset();
    descriptor_ = descriptor;
    known_ = false;
  }

  void Write(const EventDescription& event, std::string_view text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!budget_.Take(event.level, std::chrono::steady_clock::now())) {
      ++dropped_;
      return;
    }
    Examine();
    if (file_writer_) dropped_ += file_writer_->TakeFailed();
    if (dropped_ > 0) {
      const std::string note =
          FormatLine(DescribeEvent(EventId::kLogLinesDropped), fmt::format("count={}", dropped_));
      if (WriteLine(note, dropped_)) dropped_ = 0;
    }
    if (!WriteLine(FormatLine(event, text))) ++dropped_;
  }

  void Flush(Duration limit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_writer_) file_writer_->Flush(limit);
  }

 private:
  /// Starts the thread that writes to a regular file, at the first line to this descriptor. Other
  /// descriptors need none: `poll` tells whether they accept a line. If no thread can be started,
  /// the lines are written directly, which may wait for the disk.
  void Examine() {
    if (known_) return;
    known_ = true;
    if (!IsRegularFile(descriptor_)) return;
    try {
      file_writer_ = std::make_unique<BackgroundLineWriter>(descriptor_);
    } catch (const std::system_error&) {
      file_writer_.reset();
    }
  }

  /// `lost` is the number of lines that are lost if `line` is refused later.
  bool WriteLine(std::string_view line, uint64_t lost = 1) {
    return file_writer_ ? file_writer_->Add(line, lost) : WriteUnlessFull(descriptor_, line);
  }

  std::mutex mutex_;
  int descriptor_ = STDERR_FILENO;
  /// Whether the kind of the descriptor has been looked up.
  bool known_ = false;
  std::unique_ptr<BackgroundLineWriter> file_writer_;
  LineBudget budget_;
  uint64_t dropped_ = 0;
};

/// Never destroyed, so that objects destroyed at the end of the process can still log.
EventSink& Sink() {
  static auto* const sink = [] {
    auto* created = new EventSink();
    std::atexit([] { Sink().Flush(kFlushLimit); });
    return created;
  }();
  return *sink;
}

}  // namespace

const EventDescription& DescribeEvent(EventId id) {
  static const auto* const by_id = [] {
    auto* index = new absl::flat_hash_map<int, const EventDescription*>();
    for (const EventDescription& event : kCatalogue) {
      index->emplace(static_cast<int>(event.id), &event);
    }
    return index;
  }();
  return *by_id->at(static_cast<int>(id));
}

void SetEventThreshold(EventLevel level) { threshold = static_cast<int>(level); }

void SetEventDescriptor(int descriptor) { Sink().SetDescriptor(descriptor); }

void DisableEventLog() { threshold = kDisabled; }

bool EventEnabled(EventId id) {
  const int limit = threshold.load(std::memory_order_relaxed);
  if (limit == kDisabled) return false;
  return static_cast<int>(DescribeEvent(id).level) >= limit;
}

void WriteEvent(EventId id, std::string_view text) { Sink().Write(DescribeEvent(id), text); }

}  // namespace millstair
