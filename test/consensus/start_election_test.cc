/// Time until a group has a leader again after its replicas were restarted.
#include <algorithm>
#include <catch2/catch.hpp>

#include "consensus_fleet.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetOptions ShortRestartTimeout() {
  FleetOptions options;
  options.timing.restart_election_timeout = milliseconds(150);
  return options;
}

TEST_CASE("a group whose replicas all restart has a leader within one election timeout") {
  Duration longest{0};
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ConsensusFleet fleet(3, seed, ShortRestartTimeout());
    REQUIRE(fleet.RunUntilLeader());
    REQUIRE(fleet.Propose("before").ok());
    fleet.scheduler.RunFor(seconds(2));
    for (int i = 0; i < 3; ++i) fleet.Crash(fleet.Name(i));
    for (int i = 0; i < 3; ++i) fleet.Restart(fleet.Name(i));
    const Duration started = fleet.scheduler.Now();
    REQUIRE(fleet.RunUntilLeader());
    longest = std::max(longest, fleet.scheduler.Now() - started);
  }
  CHECK(longest < ConsensusTiming().election_timeout);
}

TEST_CASE("a replica that restarted alone is elected soon after a second one restarts") {
  Duration longest{0};
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ConsensusFleet fleet(3, seed, ShortRestartTimeout());
    REQUIRE(fleet.RunUntilLeader());
    const NodeId leader = fleet.LeaderNode();
    const NodeId behind = leader == fleet.Name(0) ? fleet.Name(1) : fleet.Name(0);
    fleet.Crash(behind);
    REQUIRE(fleet.Propose("without it").ok());
    for (int i = 0; i < 3; ++i) {
      if (fleet.Name(i) != behind) fleet.Crash(fleet.Name(i));
    }
    fleet.Restart(leader);
    // Its first pre-votes reach nobody, and the other replica's log is too old for it to be
    // elected.
    fleet.scheduler.RunFor(milliseconds(700));
    fleet.Restart(behind);
    const Duration started = fleet.scheduler.Now();
    REQUIRE(fleet.RunUntilLeader());
    longest = std::max(longest, fleet.scheduler.Now() - started);
  }
  CHECK(longest < ConsensusTiming().election_timeout);
}

TEST_CASE("a restarted replica does not disturb an active leader") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ConsensusFleet fleet(3, seed, ShortRestartTimeout());
    REQUIRE(fleet.RunUntilLeader());
    fleet.scheduler.RunFor(seconds(2));
    const NodeId leader = fleet.LeaderNode();
    const Term term = fleet.Leader()->CurrentTerm();
    const NodeId follower = leader == fleet.Name(0) ? fleet.Name(1) : fleet.Name(0);
    fleet.Crash(follower);
    fleet.Restart(follower);
    fleet.scheduler.RunFor(seconds(3));
    CHECK(fleet.LeaderNode() == leader);
    CHECK(fleet.Leader()->CurrentTerm() == term);
  }
}

}  // namespace
}  // namespace millstair
