#include "cluster/machine_retirement.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

constexpr MinReplicaNodes kThreeEach{3, 3};

/// Machines m1, m2, ..., each with a control node and a storage node.
Configuration Machines(int count) {
  Configuration configuration;
  for (int i = 1; i <= count; ++i) {
    const std::string machine = "m" + std::to_string(i);
    NodeRecord control;
    control.node = NodeId(machine);
    control.machine = machine;
    control.control = true;
    configuration.nodes[control.node] = control;
    NodeRecord storage;
    storage.node = NodeId(machine + "-storage");
    storage.machine = machine;
    storage.storage = true;
    configuration.nodes[storage.node] = storage;
  }
  return configuration;
}

TEST_CASE("a machine may be retired while enough nodes of each kind remain") {
  CHECK(absl::IsFailedPrecondition(CheckRetirable(Machines(3), "m1", kThreeEach)));
  CHECK(CheckRetirable(Machines(4), "m1", kThreeEach).ok());
  CHECK(absl::IsNotFound(CheckRetirable(Machines(4), "m9", kThreeEach)));
  Configuration one_gone = Machines(4);
  one_gone.nodes[NodeId("m2")].state = MemberState::kGone;
  CHECK(absl::IsFailedPrecondition(CheckRetirable(one_gone, "m1", kThreeEach)));
}

TEST_CASE("a machine without a storage node cannot be retired") {
  Configuration configuration = Machines(4);
  configuration.nodes.erase(NodeId("m1-storage"));
  CHECK(absl::IsNotFound(CheckRetirable(configuration, "m1", kThreeEach)));
}

TEST_CASE("a repeated request to retire a machine is accepted") {
  Configuration configuration = Machines(4);
  configuration.retired_nodes[NodeId("m1")] = {NodeId("m1"), false};
  configuration.retired_nodes[NodeId("m1-storage")] = {NodeId("m1-storage"), false};
  CHECK(CheckRetirable(configuration, "m1", kThreeEach).ok());
  CHECK(absl::IsFailedPrecondition(CheckRetirable(configuration, "m2", kThreeEach)));
}

TEST_CASE("a machine is emptied once all of its nodes are emptied") {
  Configuration configuration = Machines(4);
  CHECK_FALSE(IsMachineEmptied(configuration, "m1").has_value());
  configuration.retired_nodes[NodeId("m1-storage")] = {NodeId("m1-storage"), true};
  CHECK_FALSE(IsMachineEmptied(configuration, "m1").has_value());
  configuration.retired_nodes[NodeId("m1")] = {NodeId("m1"), false};
  CHECK(IsMachineEmptied(configuration, "m1") == false);
  configuration.retired_nodes[NodeId("m1")].emptied = true;
  CHECK(IsMachineEmptied(configuration, "m1") == true);
  CHECK_FALSE(IsMachineEmptied(configuration, "m9").has_value());
}

}  // namespace
}  // namespace millstair
