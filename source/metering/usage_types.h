/// Metered usage: how many requests of each tenant began to run in each window of true time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Number of a window: window k begins k times the windows' length after the epoch.
using UsageWindow = StrongId<struct UsageWindowTag, uint64_t>;

/// Requests that began, by tenant.
using TenantCounts = std::map<TenantName, uint64_t>;

/// A part of what one gateway counted.
struct UsageCount {
  UsageWindow window;
  TenantName tenant;
  uint64_t requests = 0;
  friend bool operator==(const UsageCount&, const UsageCount&) = default;
};

/// What one life of a gateway counted since its last report. Reports of one life are numbered from
/// 1 on, and one is repeated unchanged until it is committed.
struct UsageReport {
  NodeId gateway;
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<UsageCount> counts;
  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// The window that holds `time`.
constexpr UsageWindow WindowAt(WallTime time, Duration length) {
  const Duration since_epoch = time.time_since_epoch();
  return UsageWindow(static_cast<uint64_t>(since_epoch / length));
}

}  // namespace millstair
