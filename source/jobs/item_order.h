/// In which order the items of a job are run: its client goes on once enough groups are whole, so
/// the groups that are expected to be whole first are run before the others, and the longest of
/// their items first.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "jobs/job_types.h"

namespace millstair {

struct ItemEstimate {
  /// Events that the whole text is expected to have.
  double events = 0;
  /// It came in an earlier job: the client waits for its group in any case.
  bool carried = false;
};

struct ItemOrder {
  /// By index of the item: its place, the first is 0.
  std::vector<uint64_t> positions;
  /// By index of the item: its group is not among those that the client is expected to wait for.
  std::vector<bool> spare;
  /// Of all items together.
  double expected_events = 0;
};

ItemOrder OrderItems(const JobSpec& job,
                     const std::function<ItemEstimate(const JobItem&)>& estimate);

}  // namespace millstair
