#include "cluster/replica_spread.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace millstair {
namespace {

std::vector<Zone> Zones(std::initializer_list<const char*> names) {
  std::vector<Zone> zones;
  for (const char* name : names) zones.emplace_back(name);
  return zones;
}

std::map<Zone, size_t> CountsOf(const std::vector<Zone>& zones) {
  std::map<Zone, size_t> counts;
  for (const Zone& zone : zones) ++counts[zone];
  return counts;
}

TEST_CASE("The best candidate is the first one in the least crowded zone") {
  CHECK(LeastCrowded(Zones({"a", "b", "c"}), Zones({"a", "b", "b"})) == 2);
  CHECK(LeastCrowded(Zones({"b", "a", "c"}), Zones({"b"})) == 1);
  CHECK(LeastCrowded({}, Zones({"a"})) == std::nullopt);
}

TEST_CASE("The worst placed replica is the last one in the most crowded zone") {
  CHECK(MostCrowded(Zones({"a", "b", "a", "c"})) == 2);
  CHECK(MostCrowded({}) == std::nullopt);
}

TEST_CASE("A surplus replica is removed from the most crowded zone, but never the leader's own") {
  CHECK(PickSurplus(Zones({"a", "b", "a", "c"}), std::nullopt) == 2);
  CHECK(PickSurplus(Zones({"a", "b", "a", "c"}), 2) == 0);
  CHECK(PickSurplus(Zones({"a"}), 0) == std::nullopt);
  CHECK(PickSurplus({}, std::nullopt) == std::nullopt);
}

TEST_CASE("A change of zone is worth it only if it evens the zones out") {
  CHECK(ImprovesSpread(Zone("c"), Zones({"a", "a", "b"})));
  CHECK_FALSE(ImprovesSpread(Zone("b"), Zones({"a", "a", "b"})));
  CHECK_FALSE(ImprovesSpread(Zone("a"), Zones({"a", "a", "b"})));
  CHECK_FALSE(ImprovesSpread(Zone("a"), {}));
}

TEST_CASE("Picked nodes cover as many zones as possible, for any numbers of zones and nodes") {
  std::mt19937 random(20261202);
  for (int round = 0; round < 2000; ++round) {
    const size_t zone_count = 1 + random() % 7;
    const size_t node_count = random() % 50;
    const size_t wanted = random() % 8;
    std::vector<Zone> candidates;
    for (size_t i = 0; i < node_count; ++i) {
      candidates.emplace_back(std::to_string(random() % zone_count));
    }
    const std::vector<size_t> picked = PickSpread(candidates, wanted);
    REQUIRE(picked.size() == std::min(wanted, node_count));
    std::vector<Zone> zones;
    for (const size_t index : picked) zones.push_back(candidates.at(index));
    const auto available = CountsOf(candidates);
    const auto taken = CountsOf(zones);
    REQUIRE(taken.size() == std::min(picked.size(), available.size()));
    // A zone may hold more than one replica above another only if the other has no node left.
    for (const auto& [zone, count] : taken) {
      for (const auto& [other, left] : available) {
        const auto held = taken.find(other);
        const size_t in_other = held == taken.end() ? 0 : held->second;
        REQUIRE((count <= in_other + 1 || in_other == left));
      }
    }
  }
}

TEST_CASE("The loss of any one of three zones or more leaves most voters") {
  std::mt19937 random(11);
  for (int round = 0; round < 500; ++round) {
    const size_t zone_count = 3 + random() % 5;
    const size_t voters = 3 + 2 * (random() % 3);
    std::vector<Zone> candidates;
    // The candidates are either shuffled or sorted by zone; each zone has enough of them.
    for (size_t zone = 0; zone < zone_count; ++zone) {
      for (size_t node = 0; node < voters; ++node) candidates.emplace_back(std::to_string(zone));
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    if (round % 2 == 0) std::sort(candidates.begin(), candidates.end());
    std::vector<Zone> zones;
    for (const size_t index : PickSpread(candidates, voters)) zones.push_back(candidates.at(index));
    for (const auto& [zone, count] : CountsOf(zones)) {
      REQUIRE(zones.size() - count >= voters / 2 + 1);
    }
  }
}

TEST_CASE(
    "Exchanges that improve the spread terminate with the voters in as many zones as possible") {
  std::mt19937 random(7);
  for (int round = 0; round < 500; ++round) {
    const size_t zone_count = 1 + random() % 6;
    std::vector<Zone> voters;
    for (size_t i = 0; i < 5; ++i) voters.emplace_back(std::to_string(random() % zone_count));
    int exchanges = 0;
    for (size_t zone = 0; zone < zone_count;) {
      const Zone target(std::to_string(zone));
      if (!ImprovesSpread(target, voters)) {
        ++zone;
        continue;
      }
      voters.push_back(target);
      voters.erase(voters.begin() + static_cast<std::ptrdiff_t>(*MostCrowded(voters)));
      REQUIRE(++exchanges < 10);
      zone = 0;
    }
    CHECK(CountsOf(voters).size() == std::min<size_t>(5, zone_count));
  }
}

}  // namespace
}  // namespace millstair
