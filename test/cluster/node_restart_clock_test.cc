/// Guards against a gateway that gets no confirmations after a restart with its clock set back.
/// Incarnations are numbered by the wall clock at the start, so the running incarnation may seem
/// older than the recorded one.
#include <catch2/catch.hpp>

#include "fmt/format.h"
#include "test/cluster/cluster_fleet.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
/// A node that starts in a healthy cluster is confirmed within this time.
constexpr Duration kMaxUnconfirmed = seconds(1);
/// By then the record of the running incarnation has replaced that of the unresponsive one.
constexpr Duration kRecordTimeout = seconds(12);

/// The longest time for which the gateway had no valid lease.
Duration LongestUnconfirmed(ClusterFleet& fleet, const std::string& gateway, Duration span) {
  Duration longest(0);
  Duration unconfirmed(0);
  for (Duration elapsed(0); elapsed < span; elapsed += kStep) {
    fleet.RunFor(kStep);
    const bool valid = fleet.Process(gateway).configuration->LeaseValid();
    unconfirmed = valid ? Duration(0) : unconfirmed + kStep;
    longest = std::max(longest, unconfirmed);
  }
  return longest;
}

void Restart(ClusterFleet& fleet, const std::string& name, Duration clock_ahead) {
  fleet.Crash(name);
  fleet.SetClock(name, clock_ahead);
  fleet.Start(name);
}

const NodeRecord& RecordOf(ClusterFleet& fleet, const std::string& name) {
  const ControlNode& control = *fleet.Process(fleet.AwaitLeader()).control;
  return control.configuration().nodes.at(NodeId(name));
}

TEST_CASE("A gateway that restarts with a smaller incarnation number stays confirmed") {
  const uint64_t seed = GENERATE(range(1, 6));
  const Duration former_lifetime = GENERATE(milliseconds(50), milliseconds(300), milliseconds(700),
                                            milliseconds(1500), milliseconds(6000));
  const Duration step = GENERATE(seconds(8), seconds(20));
  ClusterFleet fleet({.seed = seed});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  Restart(fleet, "g1", step);
  fleet.RunFor(former_lifetime);
  Restart(fleet, "g1", Duration(0));
  INFO("seed " << seed << ", the former incarnation lasted " << ToSeconds(former_lifetime) << " s");
  CHECK(LongestUnconfirmed(fleet, "g1", seconds(35)) < kMaxUnconfirmed);
}

TEST_CASE("A gateway whose clock was set back stays confirmed") {
  const Duration former_lifetime =
      GENERATE(milliseconds(300), milliseconds(1500), milliseconds(6000));
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  Restart(fleet, "g1", Duration(0));
  fleet.RunFor(former_lifetime);
  Restart(fleet, "g1", seconds(-20));
  CHECK(LongestUnconfirmed(fleet, "g1", seconds(35)) < kMaxUnconfirmed);
}

TEST_CASE("The record of a node becomes that of the running incarnation") {
  const std::string name = GENERATE("g1", "c2");
  ClusterFleet fleet({});
  fleet.AwaitLeader();
  fleet.RunFor(seconds(5));
  Restart(fleet, name, seconds(20));
  fleet.RunFor(seconds(6));
  const Incarnation ahead = RecordOf(fleet, name).incarnation;
  Restart(fleet, name, Duration(0));
  fleet.RunFor(kRecordTimeout);
  CHECK(RecordOf(fleet, name).incarnation < ahead);
  CHECK(RecordOf(fleet, name).state == MemberState::kLive);
}

}  // namespace
}  // namespace millstair
