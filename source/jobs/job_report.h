/// What the log tells of a job that its client ended, so that a step that failed can be traced to
/// the items that it lacked.
#pragma once

#include <cstdint>
#include <optional>

#include "jobs/item_run.h"
#include "jobs/job_types.h"

namespace millstair {

/// What happened to an item under this leader.
struct ItemHistory {
  uint32_t runs = 0;
  /// Runs that did not complete the text, and how the last of them ended.
  uint32_t failed_runs = 0;
  std::optional<ItemRunEnd> last_failure;
  /// Number of times that it was withheld because engines crashed while they ran it.
  uint32_t withheld = 0;
};

struct GroupCounts {
  size_t groups = 0;
  /// Groups of which every item has a result.
  size_t complete = 0;
};

/// Counts an item without a group as one of its own.
GroupCounts CountGroups(const JobRecord& record);

}  // namespace millstair
