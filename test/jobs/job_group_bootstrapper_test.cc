#include "jobs/job_group_bootstrapper.h"

#include <catch2/catch.hpp>
#include <set>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::seconds;

class Fixture {
 public:
  void Join(const std::string& name, const std::string& zone) {
    NodeRecord record;
    record.node = NodeId(name);
    record.zone = Zone(zone);
    record.storage = true;
    record.replica = ReplicaId(configuration.nodes.size() + 1);
    configuration.nodes[record.node] = record;
  }

  /// Runs the leader task as the control node does, once a second.
  void Run(int times) {
    for (int i = 0; i < times; ++i) {
      task->Run(configuration);
      scheduler.RunFor(seconds(1));
    }
  }

  std::set<Zone> ZonesOfInitialMembers() const {
    std::set<Zone> zones;
    for (const GroupMember& founder : bootstrapped->initial_members) {
      zones.insert(configuration.nodes.at(founder.node).zone);
    }
    return zones;
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  Configuration configuration;
  std::optional<JobGroup> bootstrapped;
  std::unique_ptr<LeaderTask> task = MakeJobGroupBootstrapper(
      environment, JobGroupBootstrapperOptions{5}, [this](ClusterCommand command) {
        bootstrapped = std::get<BootstrapJobGroup>(command.operation).group;
      });
};

TEST_CASE("Initial members are spread over all zones, whatever the order of their addresses") {
  Fixture fixture;
  for (int node = 0; node < 9; ++node) {
    for (const char* zone : {"a", "b", "c", "d", "e"}) {
      fixture.Join(std::string(zone) + std::to_string(node), zone);
    }
  }
  fixture.Run(3);
  REQUIRE(fixture.bootstrapped);
  CHECK(fixture.bootstrapped->initial_members.size() == 5);
  CHECK(fixture.ZonesOfInitialMembers().size() == 5);
}

TEST_CASE("The bootstrap waits while further nodes join") {
  Fixture fixture;
  for (int node = 0; node < 5; ++node) fixture.Join("a" + std::to_string(node), "a");
  fixture.Run(1);
  CHECK_FALSE(fixture.bootstrapped);
  for (const char* zone : {"b", "c", "d", "e"}) fixture.Join(std::string(zone) + "0", zone);
  fixture.Run(2);
  REQUIRE(fixture.bootstrapped);
  CHECK(fixture.ZonesOfInitialMembers().size() == 5);
}

TEST_CASE("With fewer nodes than voters the group is bootstrapped after the maximum wait") {
  Fixture fixture;
  fixture.Join("a0", "a");
  fixture.Run(3);
  CHECK_FALSE(fixture.bootstrapped);
  fixture.Run(1);
  REQUIRE(fixture.bootstrapped);
  CHECK(fixture.bootstrapped->initial_members.size() == 1);
}

}  // namespace
}  // namespace millstair
