#include "emulator/model/cache_event_log.h"

#include <algorithm>

#include "common/random.h"

namespace millstair {

CacheEventLog::CacheEventLog(Environment& environment, const EngineModelOptions& options)
    : environment_(environment),
      delay_(options.cache_event_delay),
      loss_(options.cache_event_loss),
      retention_(options.cache_event_retention) {}

void CacheEventLog::Append(bool stored, BlockHash block) {
  ++newest_;
  if (loss_ > 0 && DrawChance(environment_.Random(), loss_)) return;
  entries_.push_back({{newest_, stored, block}, environment_.Now() + delay_});
  if (entries_.size() > retention_) entries_.pop_front();
}

CacheEvents CacheEventLog::Read(uint64_t after, Incarnation incarnation) const {
  CacheEvents read;
  read.incarnation = incarnation;
  read.newest = after;
  const TimePoint now = environment_.Now();
  const auto first = std::upper_bound(
      entries_.begin(), entries_.end(), after,
      [](uint64_t sequence, const Entry& entry) { return sequence < entry.event.sequence; });
  for (auto entry = first; entry != entries_.end(); ++entry) {
    if (entry->readable_at > now || read.events.size() == kMaxEventsPerRead) break;
    read.events.push_back(entry->event);
  }
  if (read.events.empty()) return read;
  read.newest = read.events.back().sequence;
  read.gap = read.newest - after != read.events.size();
  return read;
}

void CacheEventLog::Reset() {
  newest_ = 0;
  entries_.clear();
}

}  // namespace millstair
