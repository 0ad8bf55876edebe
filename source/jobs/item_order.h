/// Order in which the items of a job are run. Its client continues once enough groups are complete,
/// so the groups expected to complete first precede the others, and among their items the longest
/// come first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "jobs/job_types.h"

namespace millstair {

struct ItemEstimate {
  /// Expected number of events of the complete text.
  double events = 0;
  /// An earlier job had the item: the client waits for its group in any case.
  bool carried = false;
};

struct ItemOrder {
  /// By index of the item: its position, starting at 0.
  std::vector<uint64_t> positions;
  /// By index of the item: whether the client is not expected to wait for its group.
  std::vector<bool> spare;
  /// By index of the item: index of its group, in the order in which the groups are wanted.
  std::vector<size_t> groups;
  /// By index of the group: whether an earlier job had one of its items.
  std::vector<bool> carried_groups;
  /// Sum over all items.
  double expected_events = 0;
};

ItemOrder OrderItems(const JobSpec& job,
                     const std::function<ItemEstimate(const JobItem&)>& estimate);

}  // namespace millstair
