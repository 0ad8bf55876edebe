#include "simulator/faults/fault_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace millstair::simulator {
namespace {

constexpr Duration kLength = std::chrono::seconds(120);

}  // namespace

TEST_CASE("Every fault can be named and is healed in time", "[simulator]") {
  for (int i = 0; i < static_cast<int>(FaultKind::kCount); ++i) {
    const auto kind = static_cast<FaultKind>(i);
    REQUIRE(ParseFault(FaultName(kind)).value() == kind);
    const FaultPlan plan = DrawFaults(7, kLength, {kind});
    REQUIRE(plan.size() == 1);
    CHECK(plan[0].begin >= kFaultsFrom);
    CHECK(plan[0].begin + plan[0].length <= FaultsHealedBy(kLength));
  }
  const FaultPlan drawn = DrawFaults(9, kLength, {FaultKind::kDelay, FaultKind::kLostDisk});
  CHECK(ParseFaultList(FormatFault(drawn[0]) + "," + FormatFault(drawn[1]), 1, kLength).value() ==
        drawn);
  CHECK_FALSE(ParseFaultList("delay@1+2", 1, kLength).ok());
  CHECK_FALSE(ParseFault("earthquake").ok());
  CHECK_FALSE(ParseFaultList("delay,earthquake", 1, kLength).ok());
}

TEST_CASE("The default mix has two simultaneous faults and a repeated kind", "[simulator]") {
  std::set<FaultKind> seen;
  int at_once = 0;
  for (uint64_t seed = 0; seed < 200; ++seed) {
    const FaultPlan plan = DrawDefaultFaults(seed, kLength);
    std::map<FaultKind, int> counts;
    for (const PlannedFault& fault : plan) {
      seen.insert(fault.kind);
      ++counts[fault.kind];
      CHECK(fault.begin + fault.length <= FaultsHealedBy(kLength));
    }
    CHECK(
        std::any_of(counts.begin(), counts.end(), [](const auto& one) { return one.second > 1; }));
    at_once += plan[0].begin == plan[1].begin ? 1 : 0;
  }
  CHECK(seen.size() == static_cast<size_t>(FaultKind::kCount));
  CHECK(at_once > 100);
}

TEST_CASE("Removing a fault does not change the others", "[simulator]") {
  const FaultPlan both = DrawFaults(3, kLength, {FaultKind::kDelay, FaultKind::kZoneCut});
  const FaultPlan one = DrawFaults(3, kLength, {FaultKind::kZoneCut});
  CHECK(both[1] == one[0]);
  const FaultPlan twice = DrawFaults(3, kLength, {FaultKind::kDelay, FaultKind::kDelay});
  CHECK_FALSE(twice[0] == twice[1]);
}

}  // namespace millstair::simulator
