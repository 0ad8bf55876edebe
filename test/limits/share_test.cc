#include <catch2/catch.hpp>

#include "limits/concurrency_limit.h"
#include "limits/fair_share.h"
#include "limits/rollout_share.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

TEST_CASE("capacity is divided by weight, and none is left over while any is wanted") {
  CHECK(DivideFairly(9, {{2, 0, 100}, {1, 0, 100}}) == std::vector<uint32_t>{6, 3});
  CHECK(DivideFairly(9, {{2, 0, 1}, {1, 0, 100}}) == std::vector<uint32_t>{1, 8});
  CHECK(DivideFairly(9, {{1, 0, 2}, {1, 0, 3}}) == std::vector<uint32_t>{2, 3});
  CHECK(DivideFairly(3, {{0, 0, 9}, {1, 0, 9}}) == std::vector<uint32_t>{0, 3});
}

TEST_CASE("units held already count towards a claim's share") {
  CHECK(DivideFairly(4, {{1, 4, 100}, {1, 0, 100}}) == std::vector<uint32_t>{0, 4});
}

/// Latency of a server that runs `capacity` requests at once.
Duration ServerLatency(double limit, double capacity) {
  return FromSeconds(0.1 * std::max(1.0, limit / capacity));
}

TEST_CASE("the concurrency limit settles near the back end's capacity") {
  for (const double capacity : {4.0, 40.0}) {
    ConcurrencyLimit limit;
    for (int i = 0; i < 500; ++i) {
      const uint32_t outstanding = limit.limit();
      limit.RecordLatency(ServerLatency(outstanding, capacity), outstanding);
    }
    CHECK(limit.limit() >= capacity);
    CHECK(limit.limit() <= 3 * capacity + 4);
  }
}

TEST_CASE("failures cut the concurrency limit, but not below its minimum") {
  ConcurrencyLimit limit;
  for (int i = 0; i < 100; ++i) limit.RecordFailure();
  CHECK(limit.limit() == 1);
}

TEST_CASE("the rollout share shrinks when live latency rises and recovers slowly") {
  RolloutShare share;
  TimePoint now{std::chrono::hours(1)};
  CHECK(share.Sequences(now, 100) == 95);
  share.RecordLiveLatency(now, milliseconds(120), milliseconds(100));
  CHECK(share.Sequences(now, 100) == 95);
  share.RecordLiveLatency(now, milliseconds(200), milliseconds(100));
  share.RecordLiveLatency(now, milliseconds(200), milliseconds(100));
  CHECK(share.Sequences(now, 100) == 66);
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::seconds(1);
    share.RecordLiveLatency(now, milliseconds(200), milliseconds(100));
  }
  CHECK(share.Sequences(now, 100) >= 10);
  CHECK(share.Sequences(now, 100) <= 20);
  CHECK(share.Sequences(now + std::chrono::seconds(60), 100) == 95);
}

}  // namespace
}  // namespace millstair
