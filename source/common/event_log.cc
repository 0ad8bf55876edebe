#include "common/event_log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
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

std::string_view LevelName(EventLevel level) {
  constexpr std::array<std::string_view, 4> kNames = {"DEBUG", "INFO", "WARNING", "ERROR"};
  return kNames[static_cast<size_t>(level)];
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

void DisableEventLog() { threshold = kDisabled; }

bool EventEnabled(EventId id) {
  const int limit = threshold.load(std::memory_order_relaxed);
  if (limit == kDisabled) return false;
  return static_cast<int>(DescribeEvent(id).level) >= limit;
}

void WriteEvent(EventId id, std::string_view text) {
  static std::mutex mutex;
  const EventDescription& event = DescribeEvent(id);
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  const std::string line =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {} {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds,
                  LevelName(event.level), static_cast<int>(event.id), event.name, text);
  const std::lock_guard<std::mutex> lock(mutex);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace millstair
