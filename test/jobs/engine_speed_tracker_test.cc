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
      tracker.RecordInterval(Engine(engine), milliseconds(engine == 3 ? 120 : 30 + engine),
                             TimePoint());
    }
  }
  tracker.Recompute(TimePoint());
  for (int engine = 0; engine < 5; ++engine) CHECK(tracker.IsSlow(Engine(engine)) == (engine == 3));
  CHECK_FALSE(tracker.IsSlow(Engine(9)));
  for (int round = 0; round < 40; ++round)
    tracker.RecordInterval(Engine(3), milliseconds(30), TimePoint());
  tracker.Recompute(TimePoint());
  CHECK_FALSE(tracker.IsSlow(Engine(3)));
}

TEST_CASE("Of two engines neither is slow") {
  EngineSpeedTracker tracker;
  for (int round = 0; round < 40; ++round) {
    tracker.RecordInterval(Engine(0), milliseconds(30), TimePoint());
    tracker.RecordInterval(Engine(1), milliseconds(300), TimePoint());
  }
  tracker.Recompute(TimePoint());
  CHECK_FALSE(tracker.IsSlow(Engine(1)));
}

// A leader that is elected while engines change their pace must not keep the one it restored.
TEST_CASE("The first intervals replace a restored pace") {
  EngineSpeedTracker tracker;
  tracker.Restore({{Engine(0), 0.030}, {Engine(1), 0.030}, {Engine(2), 0.030}});
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.030));
  CHECK(tracker.TypicalSeconds() == Approx(0.030));
  for (int i = 0; i < 3; ++i)
    tracker.RecordInterval(Engine(0), milliseconds(i == 0 ? 180 : 120), TimePoint());
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.140));
  tracker.Recompute(TimePoint());
  CHECK(tracker.IsSlow(Engine(0)));
  CHECK_FALSE(tracker.IsSlow(Engine(1)));
}

TEST_CASE("A restored pace that was confirmed is smoothed like a measured one") {
  EngineSpeedTracker tracker;
  tracker.Restore({{Engine(0), 0.100}});
  for (int i = 0; i < 10; ++i) tracker.RecordInterval(Engine(0), milliseconds(30), TimePoint());
  tracker.RecordInterval(Engine(0), milliseconds(130), TimePoint());
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.040));
}

TEST_CASE("Removed engines are unknown again") {
  EngineSpeedTracker tracker;
  tracker.Restore({{Engine(0), 0.030}, {Engine(1), 0.120}});
  tracker.RemoveUnless([](const InstanceId& engine) { return engine == Engine(0); });
  CHECK(tracker.known_seconds().size() == 1);
  tracker.RecordInterval(Engine(1), milliseconds(60), TimePoint());
  CHECK(tracker.SecondsPerEvent(Engine(1)) == Approx(0.060));
}

/// Intervals of `engine` from `from` on for `span`, with `gap` between two.
void RecordFor(EngineSpeedTracker& tracker, int engine, TimePoint from, Duration span,
               Duration gap) {
  for (Duration at = gap; at <= span; at += gap) {
    tracker.RecordInterval(Engine(engine), gap, from + at);
  }
  tracker.Recompute(from + span);
}

// Runs were moved off engines for bursts that ended before the move paid, and had no move left when
// an engine turned slow for seconds.
TEST_CASE("A short burst does not count for the whole rest of a text") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  for (int engine = 0; engine < 3; ++engine) {
    RecordFor(tracker, engine, now, std::chrono::seconds(5), milliseconds(50));
  }
  now += std::chrono::seconds(5);
  RecordFor(tracker, 0, now, milliseconds(400), milliseconds(125));
  now += milliseconds(400);
  CHECK_FALSE(tracker.IsSlow(Engine(0)));
  CHECK(tracker.Forecast(Engine(0)).SecondsPerEvent(1) > 0.060);
  CHECK(tracker.Forecast(Engine(0)).SecondsPerEvent(100) < 0.060);
}

TEST_CASE("An engine that turns slow for seconds is noticed, and again when it recovers") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  for (int engine = 0; engine < 3; ++engine) {
    RecordFor(tracker, engine, now, std::chrono::seconds(5), milliseconds(50));
  }
  now += std::chrono::seconds(5);
  RecordFor(tracker, 0, now, std::chrono::seconds(2), milliseconds(180));
  now += std::chrono::seconds(2);
  CHECK(tracker.IsSlow(Engine(0)));
  CHECK(tracker.Forecast(Engine(0)).SecondsPerEvent(50) > 0.080);
  RecordFor(tracker, 0, now, std::chrono::seconds(4), milliseconds(50));
  CHECK_FALSE(tracker.IsSlow(Engine(0)));
  CHECK(tracker.Forecast(Engine(0)).SecondsPerEvent(50) < 0.070);
}

TEST_CASE("What an idle engine did before is expected to end") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  RecordFor(tracker, 0, now, std::chrono::seconds(5), milliseconds(50));
  now += std::chrono::seconds(5);
  RecordFor(tracker, 0, now, milliseconds(600), milliseconds(120));
  now += milliseconds(600);
  CHECK(tracker.Forecast(Engine(0)).recent_lasts_seconds > 0.2);
  tracker.Recompute(now + std::chrono::seconds(1));
  CHECK(tracker.Forecast(Engine(0)).recent_lasts_seconds == 0);
}

// Runs would return to an engine that is still slow, since its usual pace approaches the recent
// one.
TEST_CASE("An engine that stays two and a half times slower is slow without a break") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  for (int engine = 0; engine < 3; ++engine) {
    RecordFor(tracker, engine, now, std::chrono::seconds(5), milliseconds(50));
  }
  now += std::chrono::seconds(5);
  int changes = 0;
  bool slow = false;
  for (int i = 0; i < 30; ++i) {
    RecordFor(tracker, 0, now, milliseconds(250), milliseconds(125));
    now += milliseconds(250);
    changes += tracker.IsSlow(Engine(0)) == slow ? 0 : 1;
    slow = tracker.IsSlow(Engine(0));
  }
  CHECK(slow);
  CHECK(changes == 1);
}

// A leader that was paused reads the events of the pause at once.
TEST_CASE("A pause of this node does not make the engines slow that had runs") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  for (int engine = 0; engine < 5; ++engine) {
    RecordFor(tracker, engine, now, std::chrono::seconds(5), milliseconds(50));
  }
  now += std::chrono::seconds(7);
  for (int engine = 0; engine < 2; ++engine) {
    tracker.RecordInterval(Engine(engine), std::chrono::seconds(2), now);
    for (int i = 1; i < 40; ++i) tracker.RecordInterval(Engine(engine), milliseconds(0), now);
  }
  for (int engine = 0; engine < 2; ++engine) {
    RecordFor(tracker, engine, now, milliseconds(200), milliseconds(50));
    CHECK_FALSE(tracker.IsSlow(Engine(engine)));
    CHECK(tracker.Forecast(Engine(engine)).SecondsPerEvent(100) == Approx(0.050).epsilon(0.1));
  }
}

TEST_CASE("Events that arrive in pairs do not make an engine with one run look slower") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    tracker.RecordInterval(Engine(0), milliseconds(100), now);
    tracker.RecordInterval(Engine(0), milliseconds(0), now);
  }
  CHECK(tracker.known_seconds().at(Engine(0)) == Approx(0.050).epsilon(0.05));
}

TEST_CASE("A difference from before a pause does not count as seen during it") {
  EngineSpeedTracker tracker(true);
  TimePoint now;
  RecordFor(tracker, 0, now, std::chrono::seconds(5), milliseconds(50));
  now += std::chrono::seconds(5);
  RecordFor(tracker, 0, now, milliseconds(600), milliseconds(120));
  now += std::chrono::minutes(1);
  RecordFor(tracker, 0, now, milliseconds(120), milliseconds(120));
  CHECK(tracker.Forecast(Engine(0)).recent_lasts_seconds < 0.2);
}

TEST_CASE("Restored paces are used and replaced if bursts are separated too") {
  EngineSpeedTracker tracker(true);
  tracker.Restore({{Engine(0), 0.030}, {Engine(1), 0.060}});
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.030));
  CHECK(tracker.known_seconds().at(Engine(1)) == Approx(0.060));
  RecordFor(tracker, 0, TimePoint(), std::chrono::seconds(2), milliseconds(60));
  CHECK(tracker.SecondsPerEvent(Engine(0)) == Approx(0.060).epsilon(0.1));
  tracker.RemoveUnless([](const InstanceId& engine) { return engine == Engine(0); });
  CHECK_FALSE(tracker.known_seconds().contains(Engine(1)));
}

TEST_CASE("An engine that sends nothing for several intervals is slow until its next interval") {
  EngineSpeedTracker tracker;
  for (int round = 0; round < 40; ++round) {
    for (int engine = 0; engine < 5; ++engine) {
      tracker.RecordInterval(Engine(engine), milliseconds(50), TimePoint());
    }
  }
  tracker.RecordSilence(Engine(2), milliseconds(290));
  tracker.Recompute(TimePoint());
  CHECK_FALSE(tracker.IsSlow(Engine(2)));
  tracker.RecordSilence(Engine(2), milliseconds(310));
  tracker.Recompute(TimePoint());
  CHECK(tracker.IsSlow(Engine(2)));
  CHECK(tracker.SecondsPerEvent(Engine(2)) == Approx(0.310));
  CHECK(tracker.MeasuredSecondsPerEvent(Engine(2)) == Approx(0.050));
  // Its runs were moved, so that the silence does not grow.
  tracker.Recompute(TimePoint());
  CHECK(tracker.IsSlow(Engine(2)));
  tracker.RecordInterval(Engine(2), milliseconds(50), TimePoint());
  tracker.Recompute(TimePoint());
  CHECK_FALSE(tracker.IsSlow(Engine(2)));
  CHECK(tracker.SecondsPerEvent(Engine(2)) == Approx(0.050));
}

TEST_CASE("A silence ends after five seconds without a run") {
  EngineSpeedTracker tracker;
  const TimePoint start = TimePoint() + std::chrono::seconds(100);
  for (int i = 0; i < 40; ++i) tracker.RecordInterval(Engine(0), milliseconds(50), TimePoint());
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
