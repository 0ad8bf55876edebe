#include "jobs/placement.h"

#include <catch2/catch.hpp>
#include <limits>

namespace millstair {
namespace {

constexpr double kFast = 0.040;
constexpr double kSlower = 0.052;

TEST_CASE("A faster engine is preferred unless it has far more runs") {
  CHECK(PlacementCost(100, {kFast, 5, false, false}) <
        PlacementCost(100, {kSlower, 0, false, false}));
  CHECK(PlacementCost(100, {kFast, 60, false, false}) >
        PlacementCost(100, {kSlower, 0, false, false}));
}

TEST_CASE("Of equal engines one with the cached prompt is preferred, then one with fewer runs") {
  CHECK(PlacementCost(1, {kFast, 1, false, true}) < PlacementCost(1, {kFast, 1, false, false}));
  CHECK(PlacementCost(50, {kFast, 1, false, false}) < PlacementCost(50, {kFast, 2, false, false}));
}

TEST_CASE("A slow engine is the last choice, however few runs it has") {
  CHECK(PlacementCost(160, {kSlower, 100, false, false}) <
        PlacementCost(1, {kFast, 0, true, true}));
}

TEST_CASE("A run moves if its remaining events gain more than the move costs") {
  CHECK(WorthMoving(100, kSlower, kFast));
  CHECK_FALSE(WorthMoving(10, kSlower, kFast));
  CHECK_FALSE(WorthMoving(100, kFast, kSlower));
  // Differences within the noise cause no move, however long the text.
  CHECK_FALSE(WorthMoving(1000, kFast, 0.95 * kFast));
}

// Guards the fast engines against short texts, which would leave only slow ones to long texts.
TEST_CASE("A text with time to spare goes to the slowest engine that has it") {
  const std::vector<EngineOffer> offers = {
      {0.026, 0, false, false}, {0.058, 3, false, false}, {0.100, 0, false, false}};
  // 2.5 times the expected time must fit in half of 7.5 s.
  CHECK(ChooseEngine(10, 7.5, offers) == 2);
  CHECK(ChooseEngine(20, 7.5, offers) == 1);
  CHECK(ChooseEngine(50, 7.5, offers) == 0);
  CHECK(ChooseEngine(147, 7.5, offers) == 0);
  CHECK(ChooseEngine(10, 0.5, offers) == 0);
  CHECK(ChooseEngine(10, -1, offers) == 0);
}

TEST_CASE("Without a due time the fastest engine is chosen") {
  const std::vector<EngineOffer> offers = {{0.058, 0, false, false}, {0.026, 0, false, false}};
  CHECK(ChooseEngine(1, std::numeric_limits<double>::infinity(), offers) == 1);
  CHECK_FALSE(ChooseEngine(1, 7.5, {}).has_value());
}

TEST_CASE(
    "Of equally slow engines the one with the cached prompt is preferred, then the emptiest") {
  CHECK(ChooseEngine(5, 7.5, {{0.058, 1, false, false}, {0.058, 2, false, true}}) == 1);
  CHECK(ChooseEngine(5, 7.5, {{0.058, 2, false, false}, {0.058, 1, false, false}}) == 1);
  // A faster one is left to long texts, though it has read the prompt.
  CHECK(ChooseEngine(5, 7.5, {{0.026, 1, false, true}, {0.058, 2, false, false}}) == 1);
}

TEST_CASE("A text with time to spare avoids engines that are far slower than most") {
  CHECK(ChooseEngine(2, 7.5, {{0.026, 7, false, false}, {0.300, 0, true, true}}) == 0);
  CHECK(ChooseEngine(2, 7.5, {{0.300, 0, true, true}}) == 0);
}

}  // namespace
}  // namespace millstair
