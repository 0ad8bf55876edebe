/// Lives of back ends that are over, in the order in which they were registered: which of them is
/// to be forgotten next. Kept by change: 9,999 servers that register one after another were each
/// followed by a walk through all that were known.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cluster/configuration.h"

namespace millstair {

/// Derived from a configuration; the same on every replica.
class EndedInstances {
 public:
  /// Takes over a whole configuration.
  void Rebuild(const Configuration& configuration);
  /// `instance` may have changed.
  void Update(const Configuration& configuration, const InstanceId& instance);
  /// The one registered first, if there are more than `max_instances`.
  std::optional<InstanceId> OldestBeyond(size_t max_instances) const;

 private:
  std::set<std::pair<Revision, InstanceId>> by_registration_;
  std::map<InstanceId, Revision> registered_at_;
};

}  // namespace millstair
