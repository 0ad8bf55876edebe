#include "limits/fair_share.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <queue>

namespace millstair {
namespace {

/// Replaces weights of 0 or less.
constexpr double kMinWeight = 1e-9;

struct Candidate {
  double filled = 0;
  size_t index = 0;
  friend auto operator<=>(const Candidate&, const Candidate&) = default;  // NOLINT
};

double Filled(const FairClaim& claim, uint32_t granted) {
  const double weight = std::max(kMinWeight, claim.weight);
  return (static_cast<double>(claim.held) + granted + 1) / weight;
}

}  // namespace

std::vector<uint32_t> DivideFairly(uint32_t capacity, const std::vector<FairClaim>& claims) {
  std::vector<uint32_t> granted(claims.size(), 0);
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> next;
  for (size_t i = 0; i < claims.size(); ++i) {
    if (claims[i].wanted > 0) next.push({Filled(claims[i], 0), i});
  }
  while (capacity > 0 && !next.empty()) {
    const size_t index = next.top().index;
    next.pop();
    ++granted[index];
    --capacity;
    if (granted[index] < claims[index].wanted) {
      next.push({Filled(claims[index], granted[index]), index});
    }
  }
  return granted;
}

}  // namespace millstair
