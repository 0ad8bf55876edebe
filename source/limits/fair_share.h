/// Divides capacity between claimants by weight (max-min fairness).
#pragma once

#include <cstdint>
#include <vector>

namespace millstair {

struct FairClaim {
  /// Relative weight; a claim with weight 0 or less gets only what no other wants.
  double weight = 1.0;
  /// Units held already.
  uint32_t held = 0;
  /// Units wanted in addition to `held`.
  uint32_t wanted = 0;
};

/// Returns the share of `capacity` granted to each claim, in the order of `claims`. Each unit goes
/// to the claim that holds the least relative to its weight, so that held and granted units
/// together approach the weights. Capacity is left over only if all claims are satisfied. Ties go
/// to the earlier claim.
std::vector<uint32_t> DivideFairly(uint32_t capacity, const std::vector<FairClaim>& claims);

}  // namespace millstair
