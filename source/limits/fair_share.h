/// Divides capacity between claimants by weight: max-min fairness, as between pools and streams.
#pragma once

#include <cstdint>
#include <vector>

namespace millstair {

struct FairClaim {
  /// Weight against the others; at most 0 gets only what no other wants.
  double weight = 1.0;
  /// Already holds.
  uint32_t held = 0;
  /// Would take on top of `held`.
  uint32_t wanted = 0;
};

/// How much of `capacity` each claim gets, in the order of `claims`. Units go one by one to the
/// claim that holds least for its weight, so that held and new units together tend to the weights;
/// nothing that someone wants is left over. Ties go to the earlier claim.
std::vector<uint32_t> DivideFairly(uint32_t capacity, const std::vector<FairClaim>& claims);

}  // namespace millstair
