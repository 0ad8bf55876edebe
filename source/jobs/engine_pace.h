/// How fast each engine makes events, against the others: a slow one gets less work, and what runs
/// there may be moved.
#pragma once

#include <map>
#include <optional>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class EnginePace {
 public:
  /// Two events of one run at `instance` came `gap` apart.
  void Note(const InstanceId& instance, Duration gap);
  /// Forgets engines that are not in use any more.
  void Forget(const InstanceId& instance) { seconds_.erase(instance); }
  void Clear() { seconds_.clear(); }
  /// Whether its events come far slower than those of most engines.
  bool IsSlow(const InstanceId& instance) const;

 private:
  std::optional<double> Median() const;

  /// Smoothed time between two events.
  std::map<InstanceId, double> seconds_;
};

}  // namespace millstair
