#include "cluster/control_endpoints.h"

#include <algorithm>
#include <utility>

#include "common/random.h"

namespace millstair {

ControlEndpoints::ControlEndpoints(std::vector<ControlEndpoint> endpoints, const Zone& own_zone,
                                   RandomEngine& random)
    : own_zone_(own_zone), ordered_(std::move(endpoints)) {
  // std::shuffle differs between standard libraries; runs must be the same everywhere.
  for (size_t i = ordered_.size(); i > 1; --i) {
    std::swap(ordered_[i - 1], ordered_[DrawBelow(random, i)]);
  }
  const auto others = std::stable_partition(
      ordered_.begin(), ordered_.end(),
      [&own_zone](const ControlEndpoint& endpoint) { return endpoint.zone == own_zone; });
  own_zone_count_ = static_cast<size_t>(others - ordered_.begin());
}

bool ControlEndpoints::HoldsAll(const std::vector<ControlEndpoint>& endpoints) const {
  return std::all_of(endpoints.begin(), endpoints.end(), [this](const ControlEndpoint& wanted) {
    return std::any_of(ordered_.begin(), ordered_.end(), [&](const ControlEndpoint& known) {
      return known.node == wanted.node && known.address == wanted.address;
    });
  });
}

void ControlEndpoints::Add(const std::vector<ControlEndpoint>& endpoints) {
  for (const ControlEndpoint& endpoint : endpoints) {
    const auto known = std::find_if(
        ordered_.begin(), ordered_.end(),
        [&endpoint](const ControlEndpoint& entry) { return entry.node == endpoint.node; });
    if (known != ordered_.end()) {
      known->address = endpoint.address;
      continue;
    }
    const bool in_own_zone = endpoint.zone == own_zone_;
    if (!in_own_zone) {
      ordered_.push_back(endpoint);
      continue;
    }
    ordered_.insert(ordered_.begin() + static_cast<std::ptrdiff_t>(own_zone_count_), endpoint);
    if (current_ >= own_zone_count_ && ordered_.size() > 1) ++current_;
    ++own_zone_count_;
  }
}

}  // namespace millstair
