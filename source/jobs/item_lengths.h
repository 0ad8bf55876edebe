/// What earlier jobs tell of items that come back: how many events the text of an item is expected
/// to have (also by its client's guess and what has been made of it), and by how many versions the
/// weights have moved on when it comes back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "jobs/job_types.h"

namespace millstair {

/// Where an ended job lists the whole text of an item.
struct RecordedTextLocation {
  JobId job;
  size_t position = 0;
};

/// Lives on the node's serial executor. Bounded in number; the oldest items are forgotten first.
class ItemLengths {
 public:
  /// The text of `item` had `events` events in a job that allowed `min_version` and newer; `whole`
  /// if those were all.
  void RecordLength(const ItemId& item, uint64_t events, bool complete, WeightVersion min_version);
  /// An ended job lists the whole text of `item`.
  void RecordTextLocation(const ItemId& item, RecordedTextLocation location);
  /// The latest such text; none if there is none.
  std::optional<RecordedTextLocation> RecordedTextOf(const ItemId& item) const;
  /// The oldest weights that the earlier job of the item allowed; none if no job held it.
  std::optional<WeightVersion> EarlierMinVersion(const ItemId& item) const;
  /// Whether an earlier job held the item.
  bool Contains(const ItemId& item) const { return known_.contains(item); }
  void Clear();

  /// Events of the whole text of `item`, of which `made` exist. `tokens_per_event` of 0 is unknown.
  double ExpectedEvents(const JobItem& item, uint64_t made, uint64_t tokens_per_event) const;

 private:
  struct Known {
    uint64_t events = 0;
    bool complete = false;
    WeightVersion min_version;
    std::optional<RecordedTextLocation> location;
  };

  std::map<ItemId, Known> known_;
  std::deque<ItemId> order_;
};

/// Events of a text as job results hold it: one line is one event.
uint64_t EventsOfText(const std::string& text);

}  // namespace millstair
