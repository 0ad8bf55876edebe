#include "scaling/pool_size.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace millstair {
namespace {

constexpr uint32_t kMaxPendingDivisor = 4;
/// Share of the slots that stay free after a release.
constexpr double kFreeShareAfterRelease = 0.5;
/// Price of a zone without one.
constexpr double kDefaultPrice = 1;

bool IsLate(const PoolNeed& need) {
  return need.missing_slots > 0 && need.lateness_seconds && *need.lateness_seconds > 0;
}

/// Whether half of the slots that answer would be free without one server.
bool HasServerToSpare(const Pool& pool) {
  if (pool.need.answering_slots <= pool.slots_per_server) return false;
  const double slots = pool.need.answering_slots - pool.slots_per_server;
  return pool.need.busy_slots <= (1 - kFreeShareAfterRelease) * slots;
}

/// Servers that crashed or are cut off stay registered for a while.
uint32_t AnsweringServers(const Pool& pool) {
  return std::min(pool.Serving(), pool.need.answering_slots / std::max(1U, pool.slots_per_server));
}

/// Number of servers ordered beyond the initial ones.
uint32_t OrderedIn(const ZonePool& zone) {
  return zone.wanted - std::min(zone.wanted, zone.initial);
}

/// Distributes new servers over the zones.
class OrderSpreader {
 public:
  OrderSpreader(const Pool& pool, uint32_t added) : pool_(pool) {
    uint32_t ordered = added;
    for (const auto& [name, zone] : pool.zones) {
      ordered += OrderedIn(zone);
      wanted_[name] = zone.wanted;
    }
    most_in_zone_ = (ordered + 1) / 2;
  }

  /// False if no zone takes another server.
  bool AddOne() {
    const Zone* best = nullptr;
    for (const auto& [name, zone] : pool_.zones) {
      if (!Takes(name, zone)) continue;
      if (best == nullptr || KeyOf(name) < KeyOf(*best)) best = &name;
    }
    if (best == nullptr) return false;
    ++wanted_[*best];
    return true;
  }

  std::vector<PoolChange> Changes() const {
    std::vector<PoolChange> changes;
    for (const auto& [name, zone] : pool_.zones) {
      const uint32_t wanted = wanted_.at(name);
      if (wanted <= zone.wanted) continue;
      const ServiceScaling& scaling = pool_.scaling;
      const uint32_t least = std::min(scaling.min, scaling.max - std::min(scaling.max, zone.spot));
      changes.push_back({name, std::max(wanted, least)});
    }
    return changes;
  }

 private:
  bool Takes(const Zone& name, const ZonePool& zone) const {
    return zone.open && wanted_.at(name) + zone.spot < pool_.scaling.max;
  }
  /// A zone with its share comes after all others.
  std::tuple<bool, double, Zone> KeyOf(const Zone& name) const {
    const bool has_share = wanted_.at(name) - pool_.zones.at(name).initial >= most_in_zone_;
    return {has_share, pool_.PriceOf(name), name};
  }

  const Pool& pool_;
  uint32_t most_in_zone_ = 0;
  std::map<Zone, uint32_t> wanted_;
};

}  // namespace

uint32_t ZonePool::Pending(const ServiceScaling& scaling) const {
  const bool expected = since_order && *since_order < scaling.boot * kBootTimesUntilAbsent;
  // Initial servers that are missing were not ordered.
  return expected ? wanted - std::min(wanted, std::max(serving, initial)) : 0;
}

uint32_t Pool::Serving() const {
  uint32_t serving = 0;
  for (const auto& [name, zone] : zones) serving += zone.serving + zone.spot;
  return serving;
}

uint32_t Pool::Pending() const {
  uint32_t pending = 0;
  for (const auto& [name, zone] : zones) pending += zone.Pending(scaling);
  return pending;
}

bool Pool::IsComplete() const {
  for (const auto& [name, zone] : zones) {
    if (zone.serving < zone.wanted) return false;
  }
  return need.answering_slots >= registered_slots;
}

double Pool::PriceOf(const Zone& zone) const {
  const auto price = scaling.zone_prices.find(zone);
  return price == scaling.zone_prices.end() ? kDefaultPrice : price->second;
}

void PoolTrend::Observe(TimePoint now, const Pool& pool) {
  observed_at_ = now;
  if (!IsLate(pool.need)) {
    late_since_.reset();
  } else if (!late_since_) {
    late_since_ = now;
  }
  const bool calm = pool.need.lateness_seconds.value_or(0) <= 0 && HasServerToSpare(pool);
  if (!calm) {
    calm_since_.reset();
  } else if (!calm_since_) {
    calm_since_ = now;
  }
}

void PoolTrend::Reset() {
  late_since_.reset();
  calm_since_.reset();
}

bool PoolTrend::MayOrder() const {
  return late_since_ && observed_at_ - *late_since_ >= kLateBeforeOrder;
}

bool PoolTrend::MayRelease(TimePoint now) const {
  return calm_since_ && observed_at_ - *calm_since_ >= kCalmBeforeRelease &&
         now >= no_release_before_;
}

std::vector<PoolChange> DecideOrders(const Pool& pool) {
  if (!IsLate(pool.need)) return {};
  if (ToSeconds(pool.scaling.boot) >= pool.need.useful_within_seconds) return {};
  const double missing = std::ceil(pool.need.missing_slots / std::max(1U, pool.slots_per_server));
  const uint32_t most = std::max(1U, AnsweringServers(pool) / kMaxPendingDivisor);
  const uint32_t needed = missing >= most ? most : static_cast<uint32_t>(missing);
  const uint32_t pending = pool.Pending();
  if (needed <= pending) return {};
  OrderSpreader spreader(pool, needed - pending);
  for (uint32_t added = pending; added < needed && spreader.AddOne(); ++added) {
  }
  return spreader.Changes();
}

std::optional<PoolChange> DecideRelease(const Pool& pool) {
  if (pool.Pending() > 0 || !pool.IsComplete() || !HasServerToSpare(pool)) return std::nullopt;
  const Zone* best = nullptr;
  for (const auto& [name, zone] : pool.zones) {
    if (!zone.open || zone.wanted <= std::max(zone.initial, pool.scaling.min)) continue;
    if (best == nullptr || pool.PriceOf(name) > pool.PriceOf(*best)) best = &name;
  }
  if (best == nullptr) return std::nullopt;
  return PoolChange{*best, pool.zones.at(*best).wanted - 1};
}

}  // namespace millstair
