#include "ctl/apply_plan.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

Resource Machine(const std::string& name, bool drain, uint64_t version) {
  return {name, {}, MachineSpec{Zone("a"), "127.0.0.1", drain}, Revision(version)};
}

TEST_CASE("a plan has created, changed and unchanged resources") {
  const std::vector<Resource> stored = {Machine("kept", false, 3), Machine("changed", false, 4)};
  const std::vector<Resource> desired = {Machine("kept", false, 0), Machine("changed", true, 0),
                                         Machine("new", false, 0), Machine("changed", true, 2)};
  const std::vector<PlannedChange> plan = PlanApply(desired, stored);
  REQUIRE(plan[0].action == PlannedAction::kUnchanged);
  REQUIRE(plan[1].action == PlannedAction::kChange);
  REQUIRE(plan[1].differences == std::vector<std::string>{"spec.drain: false -> true"});
  REQUIRE(plan[1].expected == Revision(4));
  REQUIRE(plan[2].action == PlannedAction::kCreate);
  REQUIRE(plan[2].expected == Revision(0));
  // The version in a file is expected even if it is not the stored one.
  REQUIRE(plan[3].expected == Revision(2));
  const std::vector<ApplyItem> items = ItemsOf(plan);
  REQUIRE(items.size() == 3);
  REQUIRE(items[0].resource.version == Revision(0));
}

}  // namespace
}  // namespace millstair
