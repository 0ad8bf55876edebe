#include "cluster/control_endpoints.h"

#include <algorithm>
#include <utility>

#include "common/random.h"

namespace millstair {

ControlEndpoints::ControlEndpoints(std::vector<ControlEndpoint> endpoints, const Zone& own_zone,
                                   RandomEngine& random)
    : ordered_(std::move(endpoints)) {
  // std::shuffle differs between standard libraries; runs must be the same everywhere.
  for (size_t i = ordered_.size(); i > 1; --i) {
    std::swap(ordered_[i - 1], ordered_[DrawBelow(random, i)]);
  }
  const auto others = std::stable_partition(
      ordered_.begin(), ordered_.end(),
      [&own_zone](const ControlEndpoint& endpoint) { return endpoint.zone == own_zone; });
  own_zone_count_ = static_cast<size_t>(others - ordered_.begin());
}

}  // namespace millstair
