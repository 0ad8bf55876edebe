#include "emulator/model/report_history.h"

#include <algorithm>
#include <utility>

namespace millstair {

EngineReport WithLoad(EngineReport report, const LoadFigures& load) {
  report.running_sequences = load.running_sequences;
  report.waiting_sequences = load.waiting_sequences;
  report.waiting_prefill_tokens = load.waiting_prefill_tokens;
  report.free_kv_blocks = load.free_kv_blocks;
  report.step_time = load.step_time;
  report.newest_cache_event = load.newest_cache_event;
  return report;
}

void ReportHistory::Record(TimePoint now, const LoadFigures& load,
                           std::shared_ptr<const EngineReport> state) {
  if (!entries_.empty() && entries_.back().from == now) {
    entries_.back().load = load;
    entries_.back().state = std::move(state);
    return;
  }
  entries_.push_back({now, load, std::move(state)});
  while (entries_.size() > 1 && entries_[1].from <= now - lag_) entries_.pop_front();
}

EngineReport ReportHistory::At(TimePoint now) const {
  const auto later =
      std::upper_bound(entries_.begin(), entries_.end(), now - lag_,
                       [](TimePoint time, const Entry& entry) { return time < entry.from; });
  const Entry& entry = later == entries_.begin() ? entries_.front() : *std::prev(later);
  EngineReport report = WithLoad(*entry.state, entry.load);
  report.age = std::min(lag_, now - entries_.front().from);
  return report;
}

}  // namespace millstair
