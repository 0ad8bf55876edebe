#include "common/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <mutex>

#include "absl/container/flat_hash_map.h"
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
std::atomic<int> log_descriptor = STDERR_FILENO;

std::string_view LevelName(EventLevel level) {
  constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning", "error"};
  return kNames[static_cast<size_t>(level)];
}

/// Writes of up to this size to a pipe that polls as writable never block.
constexpr size_t kMaxLineBytes = 4096;

/// Writes a line unless the descriptor is not writable; returns whether it was written.
bool WriteUnlessFull(std::string_view line) {
  const int descriptor = log_descriptor.load(std::memory_order_relaxed);
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

void SetEventDescriptor(int descriptor) { log_descriptor = descriptor; }

void DisableEventLog() { threshold = kDisabled; }

bool EventEnabled(EventId id) {
  const int limit = threshold.load(std::memory_order_relaxed);
  if (limit == kDisabled) return false;
  return static_cast<int>(DescribeEvent(id).level) >= limit;
}

void WriteEvent(EventId id, std::string_view text) {
  static std::mutex mutex;
  static LineBudget budget;
  static uint64_t dropped = 0;
  const EventDescription& event = DescribeEvent(id);
  const std::lock_guard<std::mutex> lock(mutex);
  if (!budget.Take(event.level, std::chrono::steady_clock::now())) {
    ++dropped;
    return;
  }
  if (dropped > 0) {
    const std::string note =
        FormatLine(DescribeEvent(EventId::kLogLinesDropped), fmt::format("count={}", dropped));
    if (WriteUnlessFull(note)) dropped = 0;
  }
  if (!WriteUnlessFull(FormatLine(event, text))) ++dropped;
}

}  // namespace millstair
