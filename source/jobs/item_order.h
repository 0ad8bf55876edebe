/// In which order the items of a job are run: its client goes on once enough groups are whole, so
/// the groups that are expected to be whole first are run before the others, and the longest of
/// their items first.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "jobs/job_types.h"

namespace millstair {

struct ItemOrder {
  /// By index of the item: its place, the first is 0.
  std::vector<uint64_t> places;
  /// Tokens that are expected to come out of all items together.
  double expected_tokens = 0;
};

/// `carried` tells items that came in an earlier job: the client waits for their groups in any
/// case.
ItemOrder OrderItems(const JobSpec& job, const std::function<bool(const ItemId&)>& carried);

}  // namespace millstair
