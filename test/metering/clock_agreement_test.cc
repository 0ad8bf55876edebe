#include "metering/clock_agreement.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(50)};
constexpr WallTime kTrue{seconds(1'800'000'000)};

NodeId Node(int number) { return NodeId("n" + std::to_string(number)); }

TEST_CASE("The agreed time is the median of the clocks, whoever jumps") {
  ClockAgreement clock;
  for (int i = 0; i < 10; ++i) clock.AddSample(Node(i), kTrue + milliseconds(i - 5), kNow);
  for (int i = 0; i < 4; ++i)
    clock.AddSample(Node(i), kTrue + seconds(i % 2 == 0 ? 2400 : 3), kNow);
  const auto agreed = clock.Now(kNow, 10);
  REQUIRE(agreed);
  CHECK(*agreed >= kTrue - milliseconds(5));
  CHECK(*agreed <= kTrue + milliseconds(5));
}

TEST_CASE("A single clock, the leader's own, would follow its jump") {
  // What is compared against: the time by the leader's clock alone.
  ClockAgreement alone;
  alone.AddSample(Node(0), kTrue + milliseconds(2400), kNow);
  CHECK(alone.Now(kNow, 1) == kTrue + milliseconds(2400));
}

TEST_CASE("The agreed time goes on by the steady clock between samples") {
  ClockAgreement clock;
  clock.AddSample(Node(0), kTrue, kNow);
  CHECK(clock.Now(kNow + seconds(7), 1) == kTrue + seconds(7));
}

TEST_CASE("No time is agreed before half of the nodes were heard of, or once they are forgotten") {
  ClockAgreement clock;
  CHECK_FALSE(clock.Now(kNow, 0).has_value());
  clock.AddSample(Node(0), kTrue, kNow);
  clock.AddSample(Node(0), kTrue, kNow);
  CHECK_FALSE(clock.Now(kNow, 4).has_value());
  clock.AddSample(Node(1), kTrue, kNow);
  CHECK(clock.Now(kNow, 4).has_value());
  CHECK_FALSE(clock.Now(kNow + seconds(31), 4).has_value());
  clock.Clear();
  CHECK_FALSE(clock.Now(kNow, 1).has_value());
}

}  // namespace
}  // namespace millstair
