/// Decisions on the number of ordered servers, in virtual time and without a platform.
#include "scaling/pool_size.h"

#include <catch2/catch.hpp>

#include "common/random.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Zone kCheap("zone-b");
const Zone kMiddle("zone-a");
const Zone kExpensive("zone-c");

ZonePool Serving(uint32_t servers) {
  ZonePool zone;
  zone.serving = zone.initial = zone.wanted = servers;
  zone.open = true;
  return zone;
}

/// 24 servers of 8 slots in three zones, with a need that asks for orders.
Pool LatePool(double missing_slots = 16) {
  Pool pool;
  pool.scaling = {1, 12, seconds(4), 0.2, {{kMiddle, 1.0}, {kCheap, 0.8}, {kExpensive, 1.25}}};
  pool.slots_per_server = 8;
  for (const Zone& zone : {kCheap, kMiddle, kExpensive}) pool.zones[zone] = Serving(8);
  pool.need = {ServiceName("s"), missing_slots, 192, 1.5, 7.5, 192};
  pool.registered_slots = 192;
  return pool;
}

/// One server more than initially in each zone, and no load.
Pool IdlePool() {
  Pool pool = LatePool(0);
  for (auto& [name, zone] : pool.zones) {
    zone.wanted = zone.serving = 9;
    zone.since_order = seconds(60);
  }
  pool.need = {ServiceName("s"), 0, 0, -3, 7.5, 216};
  pool.registered_slots = 216;
  return pool;
}

uint32_t Added(const Pool& pool, const std::vector<PoolChange>& changes) {
  uint32_t added = 0;
  for (const PoolChange& change : changes) {
    added += change.wanted - pool.zones.at(change.zone).wanted;
  }
  return added;
}

TEST_CASE("Slots that are missing are not left unordered, and the order is not larger than that") {
  CHECK(Added(LatePool(), DecideOrders(LatePool())) == 2);
  CHECK(Added(LatePool(17), DecideOrders(LatePool(17))) == 3);
  CHECK(DecideOrders(LatePool(0)).empty());
}

TEST_CASE("Orders do not all go to one zone, which may be lost") {
  const std::vector<PoolChange> two = DecideOrders(LatePool(16));
  CHECK(two == std::vector<PoolChange>{{kMiddle, 9}, {kCheap, 9}});
  // Single orders one after the other do not collect in the cheapest zone either.
  Pool pool = LatePool(8);
  for (int order = 0; order < 6; ++order) {
    const std::vector<PoolChange> one = DecideOrders(pool);
    REQUIRE(Added(pool, one) == 1);
    pool.zones[one[0].zone].wanted = pool.zones[one[0].zone].serving = one[0].wanted;
  }
  CHECK(pool.zones[kCheap].wanted == 11);
  CHECK(pool.zones[kMiddle].wanted == 11);
  CHECK(pool.zones[kExpensive].wanted == 8);
}

TEST_CASE("Large shortages do not order more than a quarter of the pool at once") {
  CHECK(Added(LatePool(1000), DecideOrders(LatePool(1000))) == 6);
  Pool small = LatePool(1000);
  for (auto& [name, zone] : small.zones) zone = Serving(1);
  CHECK(Added(small, DecideOrders(small)) == 1);
}

TEST_CASE("Servers that still boot are not ordered twice") {
  Pool pool = LatePool(16);
  pool.zones[kCheap].wanted = 10;
  pool.zones[kCheap].since_order = seconds(2);
  CHECK(pool.Pending() == 2);
  CHECK(DecideOrders(pool).empty());
  pool.need.missing_slots = 24;
  CHECK(Added(pool, DecideOrders(pool)) == 1);
}

/// Otherwise initial servers that crashed keep the pool from being enlarged.
TEST_CASE("Initial servers that are missing do not count as ordered ones that boot") {
  Pool pool = LatePool(16);
  pool.zones[kCheap].serving = 4;
  pool.zones[kCheap].wanted = 9;
  pool.zones[kCheap].since_order = seconds(2);
  CHECK(pool.Pending() == 1);
}

TEST_CASE("An order states at least the minimum") {
  Pool pool = LatePool(8);
  pool.scaling.min = 10;
  CHECK(DecideOrders(pool) == std::vector<PoolChange>{{kCheap, 10}});
  pool.scaling.max = 10;
  pool.zones[kCheap].spot = 1;
  CHECK(DecideOrders(pool) == std::vector<PoolChange>{{kCheap, 9}});
}

TEST_CASE("Ordered servers that never start do not keep others from being ordered") {
  Pool pool = LatePool(16);
  pool.zones[kCheap].wanted = 10;
  pool.zones[kCheap].since_order = seconds(12) - milliseconds(1);
  CHECK(DecideOrders(pool).empty());
  pool.zones[kCheap].since_order = seconds(12);
  const std::vector<PoolChange> changes = DecideOrders(pool);
  CHECK(Added(pool, changes) == 2);
  // The platform replaces servers that crash, so the wanted number does not go back.
  for (const PoolChange& change : changes) {
    CHECK(change.wanted > pool.zones[change.zone].wanted);
  }
}

TEST_CASE("Servers that would serve too late for any step are not paid for") {
  Pool pool = LatePool();
  pool.need.useful_within_seconds = 4;
  CHECK(DecideOrders(pool).empty());
  pool.need.useful_within_seconds = 4.1;
  CHECK_FALSE(DecideOrders(pool).empty());
}

TEST_CASE("No zone exceeds its maximum, spot servers included") {
  Pool pool = LatePool(1000);
  pool.zones[kCheap].spot = 4;
  pool.zones[kMiddle].spot = 3;
  pool.zones[kExpensive].spot = 3;
  const std::vector<PoolChange> changes = DecideOrders(pool);
  CHECK(changes == std::vector<PoolChange>{{kMiddle, 9}, {kExpensive, 9}});
}

TEST_CASE("A zone that takes no orders is skipped, and another one is tried") {
  Pool pool = LatePool(16);
  pool.zones[kCheap].open = false;
  CHECK(DecideOrders(pool) == std::vector<PoolChange>{{kMiddle, 9}, {kExpensive, 9}});
  pool.zones[kMiddle].open = false;
  // A single zone is better than no servers.
  CHECK(DecideOrders(pool) == std::vector<PoolChange>{{kExpensive, 10}});
  pool.zones[kExpensive].open = false;
  CHECK(DecideOrders(pool).empty());
}

TEST_CASE("A pool never shrinks below its initial number or the minimum") {
  Pool pool = IdlePool();
  for (auto& [name, zone] : pool.zones) zone.wanted = zone.initial;
  CHECK_FALSE(DecideRelease(pool));
  for (auto& [name, zone] : pool.zones) {
    zone.initial = 2;
    zone.wanted = 9;
  }
  pool.scaling.min = 9;
  CHECK_FALSE(DecideRelease(pool));
  pool.scaling.min = 8;
  CHECK(DecideRelease(pool));
}

TEST_CASE("The most expensive servers are not kept longest") {
  Pool pool = IdlePool();
  CHECK(DecideRelease(pool) == PoolChange{kExpensive, 8});
  pool.zones[kExpensive].wanted = pool.zones[kExpensive].serving = 8;
  CHECK(DecideRelease(pool) == PoolChange{kMiddle, 8});
  pool.zones[kMiddle].open = false;
  CHECK(DecideRelease(pool) == PoolChange{kCheap, 8});
}

TEST_CASE("No server is released that the load may need again at once") {
  Pool pool = IdlePool();
  // 26 servers would remain, with 208 slots.
  pool.need.busy_slots = 104;
  CHECK(DecideRelease(pool));
  pool.need.busy_slots = 105;
  CHECK_FALSE(DecideRelease(pool));
  pool.need.busy_slots = 0;
  pool.zones[kCheap].wanted = 10;
  pool.zones[kCheap].since_order = seconds(1);
  CHECK_FALSE(DecideRelease(pool));
}

/// Reports of the same need every 500 ms for `period`.
TimePoint ObserveFor(PoolTrend& trend, TimePoint now, Duration period, const Pool& pool) {
  trend.Observe(now, pool);
  for (Duration passed{0}; passed < period; passed += milliseconds(500)) {
    now += milliseconds(500);
    trend.Observe(now, pool);
  }
  return now;
}

TEST_CASE("Servers that do not answer are no reason to release others") {
  Pool pool = IdlePool();
  REQUIRE(DecideRelease(pool));
  pool.need.answering_slots = 215;
  CHECK_FALSE(DecideRelease(pool));
  pool = IdlePool();
  pool.zones[kMiddle].serving = 8;
  CHECK_FALSE(DecideRelease(pool));
}

TEST_CASE("Slots that do not answer count neither as spare nor towards the size of an order") {
  Pool pool = IdlePool();
  pool.need.busy_slots = 40;
  pool.need.answering_slots = 80;
  PoolTrend trend;
  const TimePoint now = ObserveFor(trend, TimePoint(), seconds(30), pool);
  CHECK_FALSE(trend.MayRelease(now));
  Pool late = LatePool(1000);
  late.need.answering_slots = 96;
  CHECK(Added(late, DecideOrders(late)) == 3);
}

TEST_CASE("A short lateness orders nothing") {
  PoolTrend trend;
  TimePoint now = ObserveFor(trend, TimePoint(), milliseconds(500), LatePool());
  CHECK_FALSE(trend.MayOrder());
  trend.Observe(now, IdlePool());
  now = ObserveFor(trend, now, milliseconds(500), LatePool());
  CHECK_FALSE(trend.MayOrder());
  ObserveFor(trend, now, milliseconds(500), LatePool());
  CHECK(trend.MayOrder());
}

TEST_CASE("A pool that is late every few seconds releases nothing in between") {
  PoolTrend trend;
  TimePoint now;
  for (int step = 0; step < 20; ++step) {
    now = ObserveFor(trend, now, seconds(4), IdlePool());
    CHECK_FALSE(trend.MayRelease(now));
    trend.Observe(now, LatePool());
  }
  now = ObserveFor(trend, now, seconds(20) - milliseconds(500), IdlePool());
  CHECK_FALSE(trend.MayRelease(now));
  now = ObserveFor(trend, now, milliseconds(500), IdlePool());
  CHECK(trend.MayRelease(now));
}

TEST_CASE("Servers are not released all at once") {
  PoolTrend trend;
  const TimePoint now = ObserveFor(trend, TimePoint(), seconds(20), IdlePool());
  REQUIRE(trend.MayRelease(now));
  trend.OnReleased(now);
  CHECK_FALSE(trend.MayRelease(now + seconds(5) - milliseconds(1)));
  CHECK(trend.MayRelease(now + seconds(5)));
}

TEST_CASE("Steps without a due time count as calm, and absent reports as neither late nor calm") {
  PoolTrend trend;
  Pool pool = IdlePool();
  pool.need.lateness_seconds.reset();
  TimePoint now = ObserveFor(trend, TimePoint(), seconds(20), pool);
  CHECK(trend.MayRelease(now));
  trend.Reset();
  trend.Observe(now, pool);
  CHECK_FALSE(trend.MayRelease(now));
  now = ObserveFor(trend, now, seconds(2), LatePool());
  CHECK(trend.MayOrder());
  trend.Reset();
  CHECK_FALSE(trend.MayOrder());
}

TEST_CASE("Random needs never lead below the initial number, the minimum, or above the maximum") {
  RandomEngine random(7);
  for (int run = 0; run < 200; ++run) {
    Pool pool = LatePool();
    for (auto& [name, zone] : pool.zones) zone = Serving(1 + DrawBelow(random, 10));
    const Pool first = pool;
    for (int decision = 0; decision < 100; ++decision) {
      pool.need.missing_slots = static_cast<double>(DrawBelow(random, 200));
      pool.need.busy_slots = static_cast<uint32_t>(DrawBelow(random, 200));
      for (auto& [name, zone] : pool.zones) {
        zone.open = DrawBelow(random, 4) != 0;
        zone.serving = zone.wanted - std::min<uint32_t>(zone.wanted, DrawBelow(random, 3));
        zone.spot = static_cast<uint32_t>(DrawBelow(random, 3));
        zone.since_order = seconds(DrawBelow(random, 20));
      }
      std::vector<PoolChange> changes = DecideOrders(pool);
      CHECK(Added(pool, changes) <= std::max(1U, pool.Serving() / 4));
      if (const auto release = DecideRelease(pool); release && changes.empty()) {
        changes.push_back(*release);
      }
      for (const PoolChange& change : changes) {
        ZonePool& zone = pool.zones[change.zone];
        REQUIRE(zone.open);
        REQUIRE(change.wanted >= first.zones.at(change.zone).initial);
        REQUIRE(change.wanted >= pool.scaling.min);
        if (change.wanted > zone.wanted) REQUIRE(change.wanted + zone.spot <= pool.scaling.max);
        zone.wanted = change.wanted;
      }
    }
  }
}

}  // namespace
}  // namespace millstair
