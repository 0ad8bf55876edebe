/// Seeded runs under random faults: without injected consensus faults no check fails; with one, a
/// check does. Faults that need rarer schedules are covered by fault_scenarios_test.
#include <catch2/catch.hpp>

#include "chaos_run.h"

namespace millstair {
namespace {

/// Runs a cluster of 3 to 5 members with each seed and fails on the first violation.
ChaosCounts RunSeeds(uint64_t first, uint64_t last, ChaosOptions options) {
  ChaosCounts sum;
  for (uint64_t seed = first; seed <= last; ++seed) {
    options.seed = seed;
    options.initial_members = 3 + static_cast<int>(seed % 3);
    ChaosRun run(options);
    const auto violations = run.Run();
    INFO("seed " << seed);
    if (!violations.empty()) FAIL(violations.front());
    sum += run.counts();
  }
  return sum;
}

TEST_CASE("random faults do not violate safety, and the cluster recovers") {
  const ChaosCounts sum = RunSeeds(1, 30, {});
  // Guards against runs that exercise nothing.
  REQUIRE(sum.acknowledged > 10000);
  REQUIRE(sum.reads > 10000);
  REQUIRE(sum.lost_disks > 10);
  REQUIRE(sum.members_promoted > 10);
  REQUIRE(sum.members_removed > 10);
}

TEST_CASE("refused writes and failed syncs do not violate safety, and every replica recovers") {
  const ChaosCounts sum = RunSeeds(101, 140, {.disk_errors = true});
  // Guards against runs that exercise nothing.
  REQUIRE(sum.acknowledged > 5000);
  REQUIRE(sum.refusals > 100);
  REQUIRE(sum.failed_syncs > 100);
  REQUIRE(sum.kills > 100);
  REQUIRE(sum.power_losses > 50);
}

/// Returns the first seed that detects the fault, or 0.
uint64_t FindDetectingSeed(const ConsensusFaults& faults, uint64_t seeds) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    ChaosOptions options;
    options.seed = seed;
    options.initial_members = 3;
    options.safety_only = true;
    options.faults = faults;
    ChaosRun run(options);
    const auto violations = run.Run();
    if (violations.empty()) continue;
    return seed;
  }
  return 0;
}

struct Variant {
  std::string name;
  bool ConsensusFaults::*fault;
};

TEST_CASE("injected consensus faults are detected by random runs") {
  const auto variant =
      GENERATE(Variant{"read_without_confirmation", &ConsensusFaults::read_without_confirmation},
               Variant{"local_follower_reads", &ConsensusFaults::local_follower_reads},
               Variant{"vote_without_log_check", &ConsensusFaults::vote_without_log_check},
               Variant{"count_learners", &ConsensusFaults::count_learners});
  ConsensusFaults faults;
  faults.*variant.fault = true;
  const uint64_t seed = FindDetectingSeed(faults, 60);
  INFO(variant.name);
  CHECK(seed != 0);
}

}  // namespace
}  // namespace millstair
