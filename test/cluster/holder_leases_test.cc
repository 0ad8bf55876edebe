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
  CHECK_FALSE(leases.MayAct("e0", Term(4)));
  CHECK_FALSE(leases.MayAct("e1", Term(4)));
  CHECK(leases.MayAct("e3", Term(4)));
  scheduler.RunFor(milliseconds(2999));
  CHECK_FALSE(leases.MayAct("e0", Term(4)));
  scheduler.RunFor(milliseconds(2));
  CHECK(leases.MayAct("e0", Term(4)));
}

TEST_CASE("An act of an earlier term of one's own is waited for, and none of the same term") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  HolderLeases leases(environment, NodeId("self"), seconds(3));
  leases.NoteAnnouncement({NodeId("self"), "e0", Term(4), seconds(1)});
  CHECK(leases.MayAct("e0", Term(4)));
  CHECK_FALSE(leases.MayAct("e0", Term(5)));
  CHECK(leases.MayAct("e1", Term(5)));
  scheduler.RunFor(kLeaseMargin);
  CHECK(leases.MayAct("e0", Term(5)));
}

}  // namespace
}  // namespace millstair
