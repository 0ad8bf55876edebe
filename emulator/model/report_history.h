/// Figures of an engine model over the last moments, so that reports can lag.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

/// The figures that change with every batch step.
struct LoadFigures {
  uint32_t running_sequences = 0;
  uint32_t waiting_sequences = 0;
  uint64_t waiting_prefill_tokens = 0;
  uint32_t free_kv_blocks = 0;
  Duration step_time{0};
  uint64_t newest_cache_event = 0;
};

/// `report` with the figures of `load`.
EngineReport WithLoad(EngineReport report, const LoadFigures& load);

class ReportHistory {
 public:
  explicit ReportHistory(Duration lag) : lag_(lag) {}

  /// Notes the figures as they are from `now` on. `state` holds all else of a report and is shared
  /// between entries.
  void Record(TimePoint now, const LoadFigures& load, std::shared_ptr<const EngineReport> state);
  /// The report as it was `lag` before `now`, or the oldest one. Needs one recorded entry.
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
