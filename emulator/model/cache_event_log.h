/// Numbered cache events of one engine life: readable after a delay, some lost.
#pragma once

#include <cstdint>
#include <deque>

#include "common/environment.h"
#include "emulator/model/engine_options.h"
#include "engine/engine_types.h"

namespace millstair {

class CacheEventLog {
 public:
  CacheEventLog(Environment& environment, const EngineModelOptions& options);

  void Append(bool stored, BlockHash block);
  /// Events later than `after` that can be read now; `gap` if a number among them is missing.
  CacheEvents Read(uint64_t after, Incarnation incarnation) const;
  /// Number of the newest event, readable or not.
  uint64_t newest() const { return newest_; }
  /// Forgets everything and counts from 1 again.
  void Reset();

 private:
  struct Entry {
    CacheEvent event;
    TimePoint readable_at;
  };
  /// Longest answer to one reading.
  static constexpr size_t kMaxEventsPerRead = 8192;

  Environment& environment_;
  Duration delay_;
  double loss_;
  size_t retention_;
  uint64_t newest_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace millstair
