/// How many events the text of an item is expected to have: from its client's guess, from what
/// has been made of it so far, and from earlier jobs that held the same item.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "jobs/job_types.h"

namespace millstair {

/// Lives on the node's serial executor. Bounded in number; the oldest items are forgotten first.
class ItemLengths {
 public:
  /// An earlier job's text of `item` had `events` events; `whole` if those were all.
  void Note(const ItemId& item, uint64_t events, bool whole);
  /// Whether an earlier job held the item.
  bool Contains(const ItemId& item) const { return known_.contains(item); }
  void Clear();

  /// Events of the whole text of `item`, of which `made` exist. `tokens_per_event` of 0 is unknown.
  double ExpectedEvents(const JobItem& item, uint64_t made, uint64_t tokens_per_event) const;

 private:
  struct Known {
    uint64_t events = 0;
    bool whole = false;
  };

  std::map<ItemId, Known> known_;
  std::deque<ItemId> order_;
};

/// Events of a text as job results hold it: one line is one event.
uint64_t EventsOfText(const std::string& text);

}  // namespace millstair
