/// Texts of items that were incomplete when their jobs ended, for later jobs with the same items.
/// Bounded in number; the oldest are evicted first.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/recency_order.h"
#include "jobs/item_progress.h"
#include "jobs/job_types.h"

namespace millstair {

/// Lives on the node's serial executor.
class PartialTextCache {
 public:
  void Store(const OwnedItem& item, ItemProgress progress);
  /// Removes and returns the text; nothing if there is none, or if a part of it was made by weights
  /// older than `min_version`.
  std::optional<ItemProgress> Take(const OwnedItem& item, WeightVersion min_version);
  /// Number of events of the text; 0 if there is none.
  uint64_t EventsOf(const OwnedItem& item) const;
  void Clear();

 private:
  std::map<OwnedItem, ItemProgress> texts_;
  RecencyOrder<OwnedItem> order_;
};

}  // namespace millstair
