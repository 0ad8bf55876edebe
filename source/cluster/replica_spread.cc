#include "cluster/replica_spread.h"

#include <algorithm>

namespace millstair {
namespace {

size_t CountIn(const Zone& zone, const std::vector<Zone>& occupied) {
  return static_cast<size_t>(std::count(occupied.begin(), occupied.end(), zone));
}

}  // namespace

std::optional<size_t> LeastCrowded(const std::vector<Zone>& candidates,
                                   const std::vector<Zone>& occupied) {
  std::optional<size_t> best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const bool better =
        !best || CountIn(candidates[i], occupied) < CountIn(candidates[*best], occupied);
    if (better) best = i;
  }
  return best;
}

std::optional<size_t> MostCrowded(const std::vector<Zone>& replicas) {
  std::optional<size_t> worst;
  for (size_t i = 0; i < replicas.size(); ++i) {
    const bool worse =
        !worst || CountIn(replicas[i], replicas) >= CountIn(replicas[*worst], replicas);
    if (worse) worst = i;
  }
  return worst;
}

std::optional<size_t> PickSurplus(const std::vector<Zone>& replicas, std::optional<size_t> keep) {
  const auto crowded = MostCrowded(replicas);
  std::optional<size_t> surplus;
  for (size_t i = 0; i < replicas.size(); ++i) {
    if (i != keep && replicas[i] == replicas[*crowded]) surplus = i;
  }
  return surplus;
}

bool ImprovesSpread(const Zone& zone, const std::vector<Zone>& occupied) {
  const auto crowded = MostCrowded(occupied);
  if (!crowded) return false;
  return CountIn(occupied[*crowded], occupied) >= CountIn(zone, occupied) + 2;
}

std::vector<size_t> PickSpread(const std::vector<Zone>& candidates, size_t count) {
  std::vector<size_t> picked;
  std::vector<Zone> occupied;
  std::vector<size_t> left(candidates.size());
  for (size_t i = 0; i < left.size(); ++i) left[i] = i;
  while (picked.size() < count && !left.empty()) {
    std::vector<Zone> zones;
    for (const size_t index : left) zones.push_back(candidates[index]);
    const size_t best = *LeastCrowded(zones, occupied);
    picked.push_back(left[best]);
    occupied.push_back(zones[best]);
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(best));
  }
  return picked;
}

}  // namespace millstair
