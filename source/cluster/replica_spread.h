/// Placement of a group's replicas such that the loss of a zone takes as few of them as possible.
/// Pure functions over the zones of replicas and of candidate nodes.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/ids.h"

namespace millstair {

/// Index of the candidate whose zone occurs least often in `occupied`; the first among equals,
/// nullopt without candidates.
std::optional<size_t> LeastCrowded(const std::vector<Zone>& candidates,
                                   const std::vector<Zone>& occupied);

/// Index of the replica in the zone with the most replicas; the last among equals, so that the
/// earliest members stay. Nullopt without replicas.
std::optional<size_t> MostCrowded(const std::vector<Zone>& replicas);

/// Index of the replica to remove from a group with one too many: the last one in the most crowded
/// zone except `keep`, the leader's own. Nullopt if there is no other one in that zone.
std::optional<size_t> PickSurplus(const std::vector<Zone>& replicas, std::optional<size_t> keep);

/// Whether moving a replica from the most crowded zone to `zone` evens out the distribution: the
/// most crowded zone holds at least two more than `zone`.
bool ImprovesSpread(const Zone& zone, const std::vector<Zone>& occupied);

/// Indexes of `count` candidates spread over their zones, in the order of selection; all of them if
/// there are fewer.
std::vector<size_t> PickSpread(const std::vector<Zone>& candidates, size_t count);

}  // namespace millstair
