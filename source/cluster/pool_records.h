/// Records of pools of servers that are ordered from the platform.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/ids.h"

namespace millstair {

/// Number of on-demand servers of a service in a zone. Committed before the platform is called, so
/// that a new holder of the task continues with it.
struct PoolSize {
  ServiceName service;
  Zone zone;
  /// Servers that the service had before any were ordered; never ordered to be fewer.
  uint32_t initial = 0;
  /// The number that the platform is to provide; at least `initial`.
  uint32_t wanted = 0;
  /// The number that the platform accepted last; `initial` before the first order.
  uint32_t accepted = 0;
  /// The platform was called, or is about to be. Before that, it is told nothing.
  bool ordered = false;
  friend bool operator==(const PoolSize&, const PoolSize&) = default;
};

using PoolSizes = std::map<std::pair<ServiceName, Zone>, PoolSize>;

/// What the open steps need of the engines of a service, according to the leader of a job group.
struct PoolNeed {
  ServiceName service;
  /// Slots of the mean pace that are missing for the open steps to be in time.
  double missing_slots = 0;
  /// Running items.
  uint32_t busy_slots = 0;
  /// Expected completion of the latest open step relative to its due time; negative: time to
  /// spare; nullopt without an open step that has a due time.
  std::optional<double> lateness_seconds;
  /// Servers that serve within this time help an open step or the next one.
  double useful_within_seconds = 0;
  /// Slots of the registered servers that answer.
  uint32_t answering_slots = 0;
  friend bool operator==(const PoolNeed&, const PoolNeed&) = default;
};

/// The needs of all services that can be scaled; later reports of a leader replace earlier ones.
struct PoolReport {
  /// Term in which the reporting node leads the job group.
  Term term;
  /// Number of the report within the term.
  uint64_t sequence = 0;
  std::vector<PoolNeed> needs;
  friend bool operator==(const PoolReport&, const PoolReport&) = default;
};

}  // namespace millstair
