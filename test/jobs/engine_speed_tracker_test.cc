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

// A leader that is elected while engines change their pace must not keep the one it restored.
TEST_CASE("The first intervals replace a restored pace") {
  EngineSpeedTracker tracker;
  tracker.Restore({{Engine(0), 0.030}, {Engine(1), 0.030}, {Engine(2), 0.030}});
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.030));
  CHECK(tracker.TypicalSeconds() == Approx(0.030));
  for (int i = 0; i < 3; ++i) tracker.RecordInterval(Engine(0), milliseconds(i == 0 ? 180 : 120));
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.140));
  tracker.Recompute();
  CHECK(tracker.IsSlow(Engine(0)));
  CHECK_FALSE(tracker.IsSlow(Engine(1)));
}

TEST_CASE("A restored pace that was confirmed is smoothed like a measured one") {
  EngineSpeedTracker tracker;
  tracker.Restore({{Engine(0), 0.100}});
  for (int i = 0; i < 10; ++i) tracker.RecordInterval(Engine(0), milliseconds(30));
  tracker.RecordInterval(Engine(0), milliseconds(130));
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.040));
}

TEST_CASE("Removed engines are unknown again") {
  EngineSpeedTracker tracker;
  tracker.Restore({{Engine(0), 0.030}, {Engine(1), 0.120}});
  tracker.RemoveUnless([](const InstanceId& engine) { return engine == Engine(0); });
  CHECK(tracker.known_seconds().size() == 1);
  tracker.RecordInterval(Engine(1), milliseconds(60));
  CHECK(tracker.SecondsPerEvent(Engine(1)) == Approx(0.060));
}

TEST_CASE("An engine that sends nothing for several intervals is slow until its next interval") {
  EngineSpeedTracker tracker;
  for (int round = 0; round < 40; ++round) {
    for (int engine = 0; engine < 5; ++engine) {
      tracker.RecordInterval(Engine(engine), milliseconds(50));
    }
  }
  tracker.RecordSilence(Engine(2), milliseconds(290));
  tracker.Recompute();
  CHECK_FALSE(tracker.IsSlow(Engine(2)));
  tracker.RecordSilence(Engine(2), milliseconds(310));
  tracker.Recompute();
  CHECK(tracker.IsSlow(Engine(2)));
  CHECK(tracker.SecondsPerEvent(Engine(2)) == Approx(0.310));
  CHECK(tracker.MeasuredSecondsPerEvent(Engine(2)) == Approx(0.050));
  // Its runs were moved, so that the silence does not grow.
  tracker.Recompute();
  CHECK(tracker.IsSlow(Engine(2)));
  tracker.RecordInterval(Engine(2), milliseconds(50));
  tracker.Recompute();
  CHECK_FALSE(tracker.IsSlow(Engine(2)));
  CHECK(tracker.SecondsPerEvent(Engine(2)) == Approx(0.050));
}

TEST_CASE("A silence ends after five seconds without a run") {
  EngineSpeedTracker tracker;
  const TimePoint start = TimePoint() + std::chrono::seconds(100);
  for (int i = 0; i < 40; ++i) tracker.RecordInterval(Engine(0), milliseconds(50));
  tracker.RecordSilence(Engine(0), milliseconds(400));
  const auto expire = [&](bool has_run, Duration after) {
    tracker.ExpireSilences([has_run](const InstanceId&) { return has_run; }, start + after);
    return tracker.SecondsPerEvent(Engine(0)) == Approx(0.050);
  };
  CHECK_FALSE(expire(false, milliseconds(0)));
  CHECK_FALSE(expire(true, milliseconds(4000)));
  CHECK_FALSE(expire(false, milliseconds(6000)));
  CHECK_FALSE(expire(false, milliseconds(10900)));
  CHECK(expire(false, milliseconds(11000)));
}

}  // namespace
}  // namespace millstair
