#include "routing/prefix_index.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

CacheEvents Events(std::vector<CacheEvent> events, uint64_t newest, uint64_t incarnation = 1) {
  CacheEvents batch;
  batch.incarnation = Incarnation(incarnation);
  batch.events = std::move(events);
  batch.newest = newest;
  return batch;
}

TEST_CASE("leading blocks count only up to the first missing one") {
  PrefixIndex index;
  index.Apply(0, 0, false, Events({{1, true, 11}, {2, true, 12}, {3, true, 14}}, 3), kStart);
  CHECK(index.LeadingHeld(0, {11, 12, 13, 14}) == 2);
  index.Apply(0, 3, false, Events({{4, false, 11}}, 4), kStart);
  CHECK(index.LeadingHeld(0, {11, 12, 13, 14}) == 0);
  CHECK(index.NewestEvent(0) == 4);
}

TEST_CASE("the holders of the deepest block are found") {
  PrefixIndex index;
  index.Apply(0, 0, false, Events({{1, true, 11}}, 1), kStart);
  index.Apply(1, 0, false, Events({{1, true, 11}, {2, true, 12}}, 2), kStart);
  REQUIRE(index.BestHolders({11, 12, 13}) != nullptr);
  CHECK(*index.BestHolders({11, 12, 13}) == std::vector<EngineSlot>{1});
  CHECK(index.BestHolders({99}) == nullptr);
}

TEST_CASE("trust falls with each missing event and with time, and a resync restores it") {
  PrefixIndex index;
  index.Apply(0, 0, false, Events({{1, true, 11}, {2, true, 12}}, 2), kStart);
  CHECK(index.Trust(0, kStart) == Approx(1));
  CHECK(index.Trust(0, kStart + seconds(10)) == Approx(0.5));

  // Events 3 to 9 were lost.
  CHECK(index.Apply(0, 2, false, Events({{10, true, 13}}, 10), kStart) == CacheEventsEffect::kGap);
  const double after_losses = index.Trust(0, kStart);
  CHECK(after_losses < 0.75);
  CHECK(after_losses > 0.5);

  CacheEvents gap = Events({{50, true, 14}}, 50);
  gap.gap = true;
  index.Apply(0, 10, false, gap, kStart);
  CHECK(index.Trust(0, kStart) == Approx(after_losses / 2));
  CHECK(index.NeedsResync(0));

  index.Apply(0, 50, true, Events({{0, true, 21}}, 60), kStart);
  CHECK(index.Trust(0, kStart) == Approx(1));
  CHECK_FALSE(index.NeedsResync(0));
  CHECK(index.LeadingHeld(0, {11}) == 0);
  CHECK(index.LeadingHeld(0, {21}) == 1);
}

TEST_CASE("events of an earlier incarnation are ignored, and a new one resets the blocks") {
  PrefixIndex index;
  index.Apply(0, 0, false, Events({{1, true, 11}}, 1, 2), kStart);
  CHECK(index.Apply(0, 0, false, Events({{2, true, 12}}, 2, 1), kStart) ==
        CacheEventsEffect::kRepeated);
  CHECK(index.LeadingHeld(0, {12}) == 0);
  index.Apply(0, 0, false, Events({{1, true, 31}}, 1, 3), kStart);
  CHECK(index.LeadingHeld(0, {11}) == 0);
  CHECK(index.LeadingHeld(0, {31}) == 1);
  CHECK(index.BestHolders({11}) == nullptr);
}

TEST_CASE("a repeated batch changes nothing") {
  PrefixIndex index;
  const CacheEvents batch = Events({{1, true, 11}, {2, false, 11}}, 2);
  index.Apply(0, 0, false, batch, kStart);
  CHECK(index.Apply(0, 0, false, Events({{1, true, 11}}, 1), kStart) ==
        CacheEventsEffect::kRepeated);
  CHECK(index.LeadingHeld(0, {11}) == 0);
}

}  // namespace
}  // namespace millstair
