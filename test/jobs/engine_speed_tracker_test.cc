#include "jobs/engine_speed_tracker.h"

#include <catch2/catch.hpp>
#include <string>

namespace millstair {
namespace {

using std::chrono::milliseconds;

InstanceId Engine(int number) { return InstanceId("e" + std::to_string(number)); }

TEST_CASE("An engine far slower than the others is slow until it recovers") {
  EngineSpeedTracker tracker;
  for (int round = 0; round < 40; ++round) {
    for (int engine = 0; engine < 5; ++engine) {
      tracker.RecordInterval(Engine(engine), milliseconds(engine == 3 ? 120 : 30 + engine));
    }
  }
  tracker.Recompute();
  for (int engine = 0; engine < 5; ++engine) CHECK(tracker.IsSlow(Engine(engine)) == (engine == 3));
  CHECK_FALSE(tracker.IsSlow(Engine(9)));
  for (int round = 0; round < 40; ++round) tracker.RecordInterval(Engine(3), milliseconds(30));
  tracker.Recompute();
  CHECK_FALSE(tracker.IsSlow(Engine(3)));
}

TEST_CASE("Of two engines neither is slow") {
  EngineSpeedTracker tracker;
  for (int round = 0; round < 40; ++round) {
    tracker.RecordInterval(Engine(0), milliseconds(30));
    tracker.RecordInterval(Engine(1), milliseconds(300));
  }
  tracker.Recompute();
  CHECK_FALSE(tracker.IsSlow(Engine(1)));
}

}  // namespace
}  // namespace millstair
