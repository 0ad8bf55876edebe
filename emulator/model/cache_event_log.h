/// Numbered cache events of one engine incarnation: readable after a delay, some lost.
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
  /// Readable events later than `after`; sets `gap` if a number among them is missing.
  CacheEvents Read(uint64_t after, Incarnation incarnation) const;
  /// Number of the newest event, including those not readable yet.
  uint64_t newest() const { return newest_; }
  /// Removes all events and restarts numbering at 1.
  void Reset();

 private:
  struct Entry {
    CacheEvent event;
    TimePoint readable_at;
  };
  /// Maximum number of events returned by one read.
  static constexpr size_t kMaxEventsPerRead = 8192;

  Environment& environment_;
  Duration delay_;
  double loss_;
  size_t retention_;
  uint64_t newest_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace millstair
