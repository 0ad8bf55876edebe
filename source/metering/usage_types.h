/// Metered usage: number of started requests by tenant and window of agreed time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Number of a window: window k starts k window lengths after the epoch.
using UsageWindow = StrongId<struct UsageWindowTag, uint64_t>;

/// Started requests by tenant.
using TenantCounts = std::map<TenantName, uint64_t>;

/// Started requests of one tenant in one window.
struct UsageCount {
  UsageWindow window;
  TenantName tenant;
  uint64_t requests = 0;
  friend bool operator==(const UsageCount&, const UsageCount&) = default;
};

/// Counts of one gateway incarnation since its last report. Its reports are numbered from 1, and
/// each is resent unchanged until it is committed.
struct UsageReport {
  NodeId gateway;
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<UsageCount> counts;
  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// The window that contains `time`.
constexpr UsageWindow WindowAt(WallTime time, Duration length) {
  const Duration since_epoch = time.time_since_epoch();
  return UsageWindow(static_cast<uint64_t>(since_epoch / length));
}

}  // namespace millstair
