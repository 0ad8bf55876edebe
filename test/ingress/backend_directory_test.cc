#include "ingress/backend_directory.h"

#include <catch2/catch.hpp>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr int kServers = 12;
constexpr int kAddresses = 6;
constexpr int kServices = 3;
constexpr int kZones = 3;

/// Computes the expected result of Live from the complete configuration.
std::vector<InstanceId> ExpectedLive(const Configuration& configuration,
                                     const std::set<InstanceId>& superseded,
                                     const std::string& service) {
  std::vector<InstanceId> live;
  for (const auto& [id, instance] : configuration.instances) {
    if (instance.state != MemberState::kLive || superseded.contains(id)) continue;
    if (instance.service != ServiceName(service)) continue;
    if (configuration.evacuated_zones.contains(instance.zone)) continue;
    bool latest = true;
    for (const auto& [other, record] : configuration.instances) {
      if (record.state == MemberState::kGone || superseded.contains(other)) continue;
      if (record.address != instance.address) continue;
      latest = latest && record.registered_at <= instance.registered_at;
    }
    if (latest) live.push_back(id);
  }
  return live;
}

class Fixture {
 public:
  explicit Fixture(uint64_t seed) : random_(seed) {}

  /// Applies a random change of one back end as a delta.
  void Change() {
    ConfigurationDelta changes;
    if (DrawChance(random_, 0.1)) return ChangeEvacuation();
    const InstanceId id(fmt::format("i{}", DrawBelow(random_, kServers)));
    if (DrawChance(random_, 0.1)) {
      configuration.instances.erase(id);
      superseded.erase(id);
      changes.deleted_instances = {id};
    } else {
      BackendInstance& instance = configuration.instances[id];
      if (instance.id == InstanceId()) instance.registered_at = Revision(++revision_);
      instance.id = id;
      instance.service = ServiceName(fmt::format("s{}", DrawBelow(random_, kServices)));
      instance.address = fmt::format("a{}", DrawBelow(random_, kAddresses));
      instance.state = static_cast<MemberState>(1 + DrawBelow(random_, 3));
      instance.zone = Zone(fmt::format("z{}", DrawBelow(random_, kZones)));
      ++instance.sequence;
      changes.changed_instances = {instance};
    }
    directory.Apply(configuration, changes);
  }

  /// Starts or ends the evacuation of a random zone.
  void ChangeEvacuation() {
    ConfigurationDelta changes;
    const Zone zone(fmt::format("z{}", DrawBelow(random_, kZones)));
    if (configuration.evacuated_zones.erase(zone) > 0) {
      changes.ended_evacuations = {zone};
    } else {
      configuration.evacuated_zones[zone] = {zone, Revision(1)};
      changes.changed_evacuations = {configuration.evacuated_zones[zone]};
    }
    directory.Apply(configuration, changes);
  }

  void SupersedeOne() {
    const InstanceId id(fmt::format("i{}", DrawBelow(random_, kServers)));
    if (directory.FindLive(id) == nullptr) return;
    directory.Begin(id);
    directory.End(id, BackendEnd::kWrongInstance, Duration(1));
    superseded.insert(id);
  }

  void Check(const BackendDirectory& checked) {
    for (int i = 0; i < kServices; ++i) {
      const std::string service = fmt::format("s{}", i);
      std::vector<InstanceId> live;
      for (const BackendInstance* instance : checked.Live(ServiceName(service))) {
        live.push_back(instance->id);
      }
      REQUIRE(live == ExpectedLive(configuration, superseded, service));
    }
  }

  Configuration configuration;
  std::set<InstanceId> superseded;
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  BackendDirectory directory{environment, Zone("z")};

 private:
  RandomEngine random_;
  uint64_t revision_ = 0;
};

TEST_CASE("Applying deltas gives the same result as the complete configuration") {
  const uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  Fixture fixture(seed);
  for (int i = 0; i < 400; ++i) {
    fixture.Change();
    if (i % 7 == 0) fixture.SupersedeOne();
    fixture.Check(fixture.directory);
  }
  fixture.directory.Update(fixture.configuration);
  fixture.Check(fixture.directory);
}

TEST_CASE("A deleted back end is erased when its last request ends") {
  Fixture fixture(1);
  BackendInstance instance;
  instance.id = InstanceId("i");
  instance.service = ServiceName("s");
  instance.address = std::string("a");
  ConfigurationDelta changes;
  changes.changed_instances = {instance};
  fixture.directory.Apply(Configuration(), changes);
  fixture.directory.Begin(instance.id);
  ConfigurationDelta deleted;
  deleted.deleted_instances = {instance.id};
  fixture.directory.Apply(Configuration(), deleted);
  CHECK(fixture.directory.Live(ServiceName("s")).empty());
  CHECK(fixture.directory.Running(instance.id) == 1);
  fixture.directory.End(instance.id, BackendEnd::kAnswered, Duration(1));
  CHECK(fixture.directory.Running(instance.id) == 0);
  // The back end may be registered again.
  fixture.directory.Apply(Configuration(), changes);
  CHECK(fixture.directory.Live(ServiceName("s")).size() == 1);
}

TEST_CASE("A service has as many healthy back ends as are live, not ejected and not excluded") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  BackendDirectory directory{environment, Zone("z1")};
  Configuration configuration;
  for (int i = 1; i <= 4; ++i) {
    const InstanceId id(fmt::format("i{}", i));
    BackendInstance& instance = configuration.instances[id];
    instance.id = id;
    instance.service = ServiceName("s");
    instance.address = fmt::format("a{}", i);
  }
  configuration.instances[InstanceId("i4")].state = MemberState::kLeaving;
  directory.Update(configuration);
  const auto none = [](const BackendInstance&) { return false; };
  const auto first = [](const BackendInstance& instance) { return instance.id.value() == "i1"; };
  CHECK(directory.HasHealthy(ServiceName("s"), 3, none));
  CHECK_FALSE(directory.HasHealthy(ServiceName("s"), 4, none));
  CHECK(directory.HasHealthy(ServiceName("s"), 2, first));
  CHECK_FALSE(directory.HasHealthy(ServiceName("s"), 3, first));
  CHECK_FALSE(directory.HasHealthy(ServiceName("other"), 1, none));
  for (int i = 0; i < 20; ++i) {
    directory.Begin(InstanceId("i2"));
    directory.End(InstanceId("i2"), BackendEnd::kFailed, Duration(1000));
  }
  REQUIRE(directory.Ejected(InstanceId("i2")));
  CHECK_FALSE(directory.HasHealthy(ServiceName("s"), 3, none));
}

}  // namespace
}  // namespace millstair
