/// Estimates how many events the text of an item will have, from earlier jobs with the same item,
/// the client's estimate and the existing text. Also stores the minimum version and the recorded
/// text of those jobs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/recency_order.h"
#include "jobs/job_types.h"

namespace millstair {

/// Where an ended job recorded the complete text of an item.
struct RecordedTextLocation {
  JobId job;
  size_t position = 0;
};

/// Lives on the node's serial executor. Bounded in number; the least recently recorded items are
/// evicted first.
class ItemLengths {
 public:
  /// Records that the text of `item` had `events` events in a job with `min_version`; `complete` if
  /// those were all.
  void RecordLength(const ItemId& item, uint64_t events, bool complete, WeightVersion min_version);
  /// Has no effect for an unknown item.
  void RecordTextLocation(const ItemId& item, RecordedTextLocation location);
  /// Location of the latest complete text of `item`.
  std::optional<RecordedTextLocation> RecordedTextOf(const ItemId& item) const;
  /// The highest minimum version among earlier jobs with the item; none if no job had it.
  std::optional<WeightVersion> EarlierMinVersion(const ItemId& item) const;
  /// Whether an earlier job had the item.
  bool Contains(const ItemId& item) const { return known_.contains(item); }
  void Clear();

  /// Expected events of the complete text of `item`, of which `made` exist. `tokens_per_event` is 0
  /// if unknown.
  double ExpectedEvents(const JobItem& item, uint64_t made, uint64_t tokens_per_event) const;

 private:
  struct Known {
    uint64_t events = 0;
    bool complete = false;
    WeightVersion min_version;
    std::optional<RecordedTextLocation> location;
  };

  std::map<ItemId, Known> known_;
  RecencyOrder<ItemId> order_;
};

/// Number of events of a text in a job result: each line is one event.
uint64_t EventsOfText(const std::string& text);

}  // namespace millstair
