#include "limits/send_rate_limit.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::milliseconds;

/// Plays requests at even distances against a back end that answers `capacity` of them per second
/// in time, up to three in a row, and refuses the others.
class Played {
 public:
  static constexpr double kFloorShare = 0.05;

  void Run(Duration span, double demand, double capacity) {
    const TimePoint end = now + span;
    while (now < end) {
      now += FromSeconds(1 / demand);
      limit.SetFloor(kFloorShare * demand, now);
      limit.EndIfCalm(now);
      credit = std::min(3.0, credit + capacity / demand);
      if (!limit.Allows(now)) {
        limit.RecordDenied(now);
        continue;
      }
      limit.Take(now);
      ++sent;
      if (credit >= 1) {
        credit -= 1;
        ++in_time;
        limit.RecordInTime(now);
      } else {
        limit.RecordRefused(now);
      }
    }
  }

  TimePoint now = TimePoint(std::chrono::seconds(100));
  SendRateLimit limit{now};
  double credit = 0;
  int sent = 0;
  int in_time = 0;
};

// Guards against a limit on a service that keeps up.
TEST_CASE("A back end that keeps up is not limited, even if a response is late now and then") {
  Played played;
  played.Run(std::chrono::seconds(10), 50, 60);
  CHECK_FALSE(played.limit.limited());
  CHECK(played.sent == played.in_time);
  for (int i = 0; i < 5; ++i) {
    CHECK_FALSE(played.limit.RecordLate(played.now));
    played.Run(std::chrono::seconds(2), 50, 60);
  }
  CHECK_FALSE(played.limit.limited());
}

// Guards against sends far above what the back end answers in time.
TEST_CASE("Under overload the sends exceed the responses in time by a quarter") {
  Played played;
  played.Run(std::chrono::seconds(2), 4, 2);
  REQUIRE(played.limit.limited());
  played.sent = 0;
  played.in_time = 0;
  played.Run(std::chrono::seconds(30), 4, 2);
  CHECK(played.in_time >= 50);
  CHECK(played.sent <= 1.35 * played.in_time);
}

// Guards against a limit that ignores a back end that answers everything, but too late.
TEST_CASE("Late responses start the limit") {
  TimePoint now(std::chrono::seconds(100));
  SendRateLimit limit(now);
  CHECK_FALSE(limit.RecordLate(now));
  const auto change = limit.RecordLate(now + milliseconds(100));
  REQUIRE(change);
  CHECK(change->limited);
  CHECK(change->reason == SendLimitReason::kLate);
  CHECK_FALSE(limit.Allows(now + milliseconds(100)));
}

// Guards against a limit that stays after the overload.
TEST_CASE("The limit ends a second after the last refusal, late response or denied send") {
  Played played;
  played.Run(std::chrono::seconds(5), 20, 5);
  REQUIRE(played.limit.limited());
  played.Run(std::chrono::seconds(20), 20, 100);
  CHECK_FALSE(played.limit.limited());
  const TimePoint now = played.now;
  played.limit.RecordRefused(now);
  CHECK_FALSE(played.limit.EndIfCalm(now + milliseconds(999)));
  const auto change = played.limit.EndIfCalm(now + milliseconds(1000));
  REQUIRE(change);
  CHECK_FALSE(change->limited);
  CHECK(played.limit.Allows(now + milliseconds(1000)));
}

// Guards against a limit that a usual tail of slow responses keeps in force after the overload.
TEST_CASE("Late responses keep the limit in force only at the share that starts one") {
  // One of `every` responses is late.
  const auto ends_within_three_seconds = [](int every) {
    TimePoint now(std::chrono::seconds(100));
    SendRateLimit limit(now);
    REQUIRE(limit.RecordRefused(now));
    for (int i = 0; i < 150; ++i) {
      now += milliseconds(20);
      if (i % every == 0) limit.RecordLate(now);
      if (i % every != 0) limit.RecordInTime(now);
      limit.EndIfCalm(now);
    }
    return !limit.limited();
  };
  CHECK(ends_within_three_seconds(12));
  CHECK_FALSE(ends_within_three_seconds(3));
}

// Guards against a back end that gets its full share only long after it has recovered.
TEST_CASE("A back end that answered nothing for a while is used fully within a few seconds") {
  Played played;
  played.Run(std::chrono::seconds(5), 20, 0.01);
  REQUIRE(played.limit.limited());
  played.Run(std::chrono::seconds(6), 20, 100);
  CHECK_FALSE(played.limit.limited());
}

// Guards against a back end that is never tried again after it answered nothing for a while.
TEST_CASE("The floor lets some sends through while nothing is answered in time") {
  TimePoint now(std::chrono::seconds(100));
  SendRateLimit limit(now);
  limit.RecordRefused(now);
  limit.SetFloor(2, now);
  CHECK_FALSE(limit.Allows(now));
  CHECK(limit.UntilAllowed(now) == milliseconds(500));
  CHECK(limit.Allows(now + milliseconds(500)));
  limit.Take(now + milliseconds(500));
  CHECK_FALSE(limit.Allows(now + milliseconds(600)));
  limit.Return(now + milliseconds(600));
  CHECK(limit.Allows(now + milliseconds(600)));
}

// Guards against a burst after a pause, which would fill the back end's queue.
TEST_CASE("At most two sends in a row are allowed after a pause") {
  TimePoint now(std::chrono::seconds(100));
  SendRateLimit limit(now);
  limit.RecordRefused(now);
  limit.SetFloor(10, now);
  now += std::chrono::seconds(10);
  int sends = 0;
  while (limit.Allows(now)) {
    limit.Take(now);
    ++sends;
  }
  CHECK(sends == 2);
}

// Guards against a standing queue at a back end: with a lower rate alone it shrinks too slowly.
TEST_CASE("After a late response nothing is sent until the queue has shrunk by its excess") {
  TimePoint now = TimePoint() + std::chrono::seconds(100);
  SendRateLimit limit(now);
  limit.RecordBacklog(now, milliseconds(200));
  CHECK(limit.Allows(now));
  REQUIRE(limit.RecordRefused(now));
  limit.SetFloor(10, now);
  now += milliseconds(200);
  REQUIRE(limit.Allows(now));
  limit.RecordBacklog(now, milliseconds(200));
  // What accrued before the late response is not used after it.
  CHECK(limit.UntilAllowed(now) == milliseconds(300));
  CHECK_FALSE(limit.Allows(now + milliseconds(299)));
  CHECK(limit.Allows(now + milliseconds(300)));
  now += milliseconds(300);
  limit.RecordBacklog(now, std::chrono::seconds(10));
  CHECK_FALSE(limit.Allows(now + milliseconds(599)));
  CHECK(limit.Allows(now + milliseconds(600)));
}

// Guards against sends that accrue twice: the time until the hold was credited again by a call
// without an excess, which moved the time of the last credit back to the end of the hold.
TEST_CASE("A backlog without an excess changes nothing") {
  const Duration excess = GENERATE(Duration(0), Duration(milliseconds(-50)));
  TimePoint now = TimePoint() + std::chrono::seconds(100);
  SendRateLimit limit(now);
  REQUIRE(limit.RecordRefused(now));
  limit.SetFloor(10, now);
  limit.RecordBacklog(now, milliseconds(100));
  now += milliseconds(300);
  REQUIRE(limit.Allows(now));
  limit.Take(now);
  limit.Take(now);
  // Two sends accrued in 200 ms and were taken.
  limit.RecordBacklog(now, excess);
  CHECK_FALSE(limit.Allows(now));
  CHECK(limit.UntilAllowed(now) == milliseconds(100));
}

// Guards against spare sends that are taken while they could still be used by others.
TEST_CASE("A send is spare once no more can accrue, or without a limit") {
  TimePoint now = TimePoint() + std::chrono::seconds(100);
  SendRateLimit limit(now);
  CHECK(limit.AllowsSpare(now));
  REQUIRE(limit.RecordRefused(now));
  limit.SetFloor(10, now);
  CHECK(limit.Allows(now + milliseconds(100)));
  CHECK_FALSE(limit.AllowsSpare(now + milliseconds(199)));
  CHECK(limit.AllowsSpare(now + milliseconds(200)));
}

}  // namespace
}  // namespace millstair
