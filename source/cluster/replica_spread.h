/// Where replicas of a group are best placed, so that the loss of a zone takes as few of them as
/// possible. Pure functions over the zones of replicas and of nodes that could hold one.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/ids.h"

namespace millstair {

/// Index of the candidate whose zone holds the fewest of `occupied`; the first of equals, none
/// without candidates.
std::optional<size_t> LeastCrowded(const std::vector<Zone>& candidates,
                                   const std::vector<Zone>& occupied);

/// Index of the replica in the zone that holds the most; the last of equals, so that those that
/// joined first stay. None without replicas.
std::optional<size_t> MostCrowded(const std::vector<Zone>& replicas);

/// Index of the replica to remove where there is one too many: the last of the most crowded zone
/// but `keep`, the leader's own; none if only that one stands there.
std::optional<size_t> PickSurplus(const std::vector<Zone>& replicas, std::optional<size_t> keep);

/// Whether a replica in `zone` in place of one in the most crowded zone evens them out: the most
/// crowded one holds two more than `zone` at least.
bool ImprovesSpread(const Zone& zone, const std::vector<Zone>& occupied);

/// Indexes of `count` candidates, or of all if there are fewer, spread over their zones; in the
/// order in which they were picked.
std::vector<size_t> PickSpread(const std::vector<Zone>& candidates, size_t count);

}  // namespace millstair
