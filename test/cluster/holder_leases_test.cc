#include "cluster/holder_leases.h"

#include <catch2/catch.hpp>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Clocks of different terms are not compared") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  HolderLeases leases(environment, NodeId("self"), seconds(3));
  leases.NoteAnnouncement({NodeId("other"), "e0", Term(2), seconds(1)});
  leases.NoteAnnouncement({NodeId("other"), "e1", Term(3), seconds(90)});
  leases.NoteAnnouncement({NodeId("third"), "e2", Term(3), seconds(900)});
  CHECK_FALSE(leases.MayAct("e0"));
  CHECK_FALSE(leases.MayAct("e1"));
  CHECK(leases.MayAct("e3"));
  scheduler.RunFor(milliseconds(2999));
  CHECK_FALSE(leases.MayAct("e0"));
  scheduler.RunFor(milliseconds(2));
  CHECK(leases.MayAct("e0"));
}

}  // namespace
}  // namespace millstair
