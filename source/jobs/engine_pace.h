/// How fast each engine makes events, against the others: a slow one gets work last, and what runs
/// there may be moved.
#pragma once

#include <map>
#include <set>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class EnginePace {
 public:
  /// Two events of one run at `instance` came `gap` apart.
  void Note(const InstanceId& instance, Duration gap);
  void Clear();
  /// Judges all engines anew; `IsSlow` tells what this found.
  void Judge();
  /// Whether its events come far slower than those of most engines.
  bool IsSlow(const InstanceId& instance) const { return slow_.contains(instance); }

 private:
  /// Smoothed time between two events, in seconds.
  std::map<InstanceId, double> seconds_;
  std::set<InstanceId> slow_;
};

}  // namespace millstair
