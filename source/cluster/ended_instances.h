/// Ended instances in order of registration, to find the next one to remove without scanning all
/// known instances.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cluster/configuration.h"

namespace millstair {

/// Derived from a configuration, so it is the same on every replica.
class EndedInstances {
 public:
  /// Rebuilds the index from a complete configuration.
  void Rebuild(const Configuration& configuration);
  /// Must be called after a change of `instance`.
  void Update(const Configuration& configuration, const InstanceId& instance);
  /// The instance registered first, if there are more than `max_instances`.
  std::optional<InstanceId> OldestBeyond(size_t max_instances) const;

 private:
  std::set<std::pair<Revision, InstanceId>> by_registration_;
  std::map<InstanceId, Revision> registered_at_;
};

}  // namespace millstair
