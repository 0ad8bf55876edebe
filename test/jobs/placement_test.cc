#include "jobs/placement.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace millstair
