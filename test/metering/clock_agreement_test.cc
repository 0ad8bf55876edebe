#include "metering/clock_agreement.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(50)};
constexpr WallTime kTrueTime{seconds(1'800'000'000)};

NodeId Node(int number) { return NodeId("n" + std::to_string(number)); }

TEST_CASE("The agreed time is the median of the clocks, whichever of them jump") {
  ClockAgreement clock;
  for (int i = 0; i < 10; ++i) clock.AddSample(Node(i), kTrueTime + milliseconds(i - 5), kNow);
  for (int i = 0; i < 4; ++i)
    clock.AddSample(Node(i), kTrueTime + seconds(i % 2 == 0 ? 2400 : 3), kNow);
  const auto agreed = clock.Now(kNow, 10);
  REQUIRE(agreed);
  CHECK(*agreed >= kTrueTime - milliseconds(5));
  CHECK(*agreed <= kTrueTime + milliseconds(5));
}

TEST_CASE("A single clock, the leader's own, would follow its jump") {
  // Counterexample: the time of the leader's clock alone.
  ClockAgreement alone;
  alone.AddSample(Node(0), kTrueTime + milliseconds(2400), kNow);
  CHECK(alone.Now(kNow, 1) == kTrueTime + milliseconds(2400));
}

TEST_CASE("The agreed time advances with the steady clock between samples") {
  ClockAgreement clock;
  clock.AddSample(Node(0), kTrueTime, kNow);
  CHECK(clock.Now(kNow + seconds(7), 1) == kTrueTime + seconds(7));
}

TEST_CASE("No time is agreed without samples of half of the nodes, or after they expired") {
  ClockAgreement clock;
  CHECK_FALSE(clock.Now(kNow, 0).has_value());
  clock.AddSample(Node(0), kTrueTime, kNow);
  clock.AddSample(Node(0), kTrueTime, kNow);
  CHECK_FALSE(clock.Now(kNow, 4).has_value());
  clock.AddSample(Node(1), kTrueTime, kNow);
  CHECK(clock.Now(kNow, 4).has_value());
  CHECK_FALSE(clock.Now(kNow + seconds(31), 4).has_value());
  clock.Clear();
  CHECK_FALSE(clock.Now(kNow, 1).has_value());
}

}  // namespace
}  // namespace millstair
