/// Choice among the control nodes: those of the own zone first, then the others in random order.
#pragma once

#include <vector>

#include "cluster/configuration_client.h"
#include "common/environment.h"

namespace millstair {

/// The control node in use, and the order in which the others are tried. Not empty.
class ControlEndpoints {
 public:
  ControlEndpoints(std::vector<ControlEndpoint> endpoints, const Zone& own_zone,
                   RandomEngine& random);

  bool empty() const { return ordered_.empty(); }
  /// Undefined if empty.
  const ControlEndpoint& current() const { return ordered_[current_]; }
  const std::vector<ControlEndpoint>& all() const { return ordered_; }
  /// Whether each of `endpoints` is among the known ones, by node and address.
  bool HoldsAll(const std::vector<ControlEndpoint>& endpoints) const;
  /// Adds what is new; the one in use stays in use. A node that moved gets its new address.
  void Add(const std::vector<ControlEndpoint>& endpoints);
  void MoveOn() { current_ = (current_ + 1) % ordered_.size(); }
  /// True if the one in use is of another zone although the own zone has one.
  bool AwayFromOwnZone() const { return current_ >= own_zone_count_ && own_zone_count_ > 0; }
  void ReturnToOwnZone() { current_ = 0; }

 private:
  Zone own_zone_;
  std::vector<ControlEndpoint> ordered_;
  size_t own_zone_count_ = 0;
  size_t current_ = 0;
};

}  // namespace millstair
