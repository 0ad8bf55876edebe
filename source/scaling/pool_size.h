/// Decides how many servers of a service are ordered in each zone: more when open steps are
/// expected to miss their due time and new servers would serve early enough to help, fewer once
/// there has been capacity to spare for a while. Pure decisions without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cluster/pool_records.h"
#include "common/time.h"
#include "ingress/route_table.h"

namespace millstair {

/// A need counts as absent when it is older than this.
inline constexpr Duration kNeedLifetime = std::chrono::seconds(5);
/// Servers are ordered once steps have been expected to be late for this long. Shorter lateness is
/// often a text that turns out longer than expected, and ends with it.
inline constexpr Duration kLateBeforeOrder = std::chrono::seconds(1);
/// A server is released once no step has been expected to be late for this long. Covers several
/// intervals between steps, so that a pool is not reduced between two of them.
inline constexpr Duration kCalmBeforeRelease = std::chrono::seconds(20);
/// Between two releases, so that the forecast includes the first.
inline constexpr Duration kReleaseInterval = std::chrono::seconds(5);
/// Ordered servers that have not registered within this many boot times count as absent.
inline constexpr int kBootTimesUntilAbsent = 3;

/// A service in a zone.
struct ZonePool {
  /// Registered on-demand servers that are not leaving.
  uint32_t serving = 0;
  /// The same for spot servers. They are never ordered, but count towards the maximum.
  uint32_t spot = 0;
  uint32_t initial = 0;
  uint32_t wanted = 0;
  /// Since the last order of additional servers; nullopt if none was made.
  std::optional<Duration> since_order;
  /// The wanted number may be changed: it is accepted and the zone takes orders.
  bool open = false;

  /// Ordered servers that are expected to register.
  uint32_t Pending(const ServiceScaling& scaling) const;
};

/// A service in all zones, with its need.
struct Pool {
  ServiceScaling scaling;
  uint32_t slots_per_server = 1;
  /// Of all registered servers, whether they answer or not.
  uint32_t registered_slots = 0;
  std::map<Zone, ZonePool> zones;
  PoolNeed need;

  /// Servers that serve, including spot servers.
  uint32_t Serving() const;
  uint32_t Pending() const;
  /// Whether every zone has the servers that it should have, and all of them answer.
  bool IsComplete() const;
  /// Price of an on-demand server of `zone` per second; 1 if the configuration states none.
  double PriceOf(const Zone& zone) const;
};

/// The number of servers of a zone is to become `wanted`.
struct PoolChange {
  Zone zone;
  uint32_t wanted = 0;
  friend bool operator==(const PoolChange&, const PoolChange&) = default;
};

/// How long the need has asked for more servers, and for fewer.
class PoolTrend {
 public:
  /// A report arrived at `now`.
  void Observe(TimePoint now, const Pool& pool);
  /// The need is absent: both periods start again.
  void Reset();
  /// Servers have been released: the next one follows after kReleaseInterval.
  void OnReleased(TimePoint now) { no_release_before_ = now + kReleaseInterval; }

  bool MayOrder() const;
  bool MayRelease(TimePoint now) const;

 private:
  /// Of the latest report: the periods last until then.
  TimePoint observed_at_;
  std::optional<TimePoint> late_since_;
  std::optional<TimePoint> calm_since_;
  TimePoint no_release_before_;
};

/// The zones in which servers are to be added now, for a need that has lasted long enough. At most
/// a quarter of the servers that answer, rounded down but at least one, are pending at a time. The
/// cheapest zones come first; no zone gets more than half of all ordered servers, rounded up, while
/// another one takes orders.
std::vector<PoolChange> DecideOrders(const Pool& pool);

/// The zone in which one server is to be removed now, the most expensive first, for a need that has
/// been low for long enough; nullopt if none is above its initial number and the minimum, servers
/// are pending, missing or do not answer, or fewer than half of the remaining slots would be free.
std::optional<PoolChange> DecideRelease(const Pool& pool);

}  // namespace millstair
