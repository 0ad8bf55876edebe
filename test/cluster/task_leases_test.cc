#include "cluster/task_leases.h"

#include <catch2/catch.hpp>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Clocks of different terms are not compared") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  TaskLeases leases(environment, NodeId("self"), seconds(3));
  leases.OnAnnouncement({NodeId("other"), "e0", Term(2), seconds(1)});
  leases.OnAnnouncement({NodeId("other"), "e1", Term(3), seconds(90)});
  leases.OnAnnouncement({NodeId("third"), "e2", Term(3), seconds(900)});
  CHECK_FALSE(leases.MayOperateOn("e0", Term(4)));
  CHECK_FALSE(leases.MayOperateOn("e1", Term(4)));
  CHECK(leases.MayOperateOn("e3", Term(4)));
  scheduler.RunFor(milliseconds(2999));
  CHECK_FALSE(leases.MayOperateOn("e0", Term(4)));
  scheduler.RunFor(milliseconds(2));
  CHECK(leases.MayOperateOn("e0", Term(4)));
}

TEST_CASE("A node waits for its own operation of an earlier term, not for one of the same term") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  TaskLeases leases(environment, NodeId("self"), seconds(3));
  leases.OnAnnouncement({NodeId("self"), "e0", Term(4), seconds(1)});
  CHECK(leases.MayOperateOn("e0", Term(4)));
  CHECK_FALSE(leases.MayOperateOn("e0", Term(5)));
  CHECK(leases.MayOperateOn("e1", Term(5)));
  scheduler.RunFor(kLeaseMargin);
  CHECK(leases.MayOperateOn("e0", Term(5)));
}

}  // namespace
}  // namespace millstair
