/// Recent load figures of an engine model, so that reports can lag behind.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

/// Figures that change with every batch step.
struct LoadFigures {
  uint32_t running_sequences = 0;
  uint32_t waiting_sequences = 0;
  uint64_t waiting_prefill_tokens = 0;
  uint32_t free_kv_blocks = 0;
  Duration step_time{0};
  uint64_t newest_cache_event = 0;
};

/// Returns `report` with the figures of `load`.
EngineReport WithLoad(EngineReport report, const LoadFigures& load);

class ReportHistory {
 public:
  explicit ReportHistory(Duration lag) : lag_(lag) {}

  /// Records the figures from `now` on. `state` contains the other fields of the report and is
  /// shared between entries.
  void Record(TimePoint now, const LoadFigures& load, std::shared_ptr<const EngineReport> state);
  /// The report as of `lag` before `now`, or the oldest one. Requires at least one entry.
  EngineReport At(TimePoint now) const;
  void Clear() { entries_.clear(); }

 private:
  struct Entry {
    TimePoint from;
    LoadFigures load;
    std::shared_ptr<const EngineReport> state;
  };

  Duration lag_;
  std::deque<Entry> entries_;
};

}  // namespace millstair
