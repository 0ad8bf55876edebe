#include "jobs/active_engine_set.h"

#include <catch2/catch.hpp>
#include <set>

#include "fmt/format.h"
#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

const ServiceName kEngines("engines");

struct Fixture {
  explicit Fixture(size_t engines) {
    for (size_t i = 0; i < engines; ++i) {
      const std::string address = fmt::format("e{}:1", i);
      configuration.instances[InstanceId(address)] = LiveInstance(address, "engines");
    }
    directory.Update(configuration);
  }

  std::set<InstanceId> Selected() {
    set.Refresh(kEngines);
    std::set<InstanceId> selected;
    for (const BackendInstance* engine : set.Engines(kEngines)) selected.insert(engine->id);
    return selected;
  }

  VirtualScheduler scheduler{3};
  VirtualEnvironment environment{scheduler, 5};
  BackendDirectory directory{environment, Zone("z1")};
  Configuration configuration;
  std::set<InstanceId> lost;
  ActiveEngineSet set{directory, environment,
                      [this](const InstanceId& engine) { return lost.contains(engine); }};
};

TEST_CASE("Engines that are lost are replaced by others, and stay selected") {
  Fixture fixture(kMinActiveEngines + 10);
  const std::set<InstanceId> before = fixture.Selected();
  REQUIRE(before.size() == kMinActiveEngines);
  fixture.lost = {*before.begin(), *before.rbegin()};
  const std::set<InstanceId> after = fixture.Selected();
  CHECK(after.size() == kMinActiveEngines + 2);
  CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
  fixture.lost.clear();
  CHECK(fixture.Selected() == before);
}

TEST_CASE("All engines of a small service are selected, however many are lost") {
  Fixture fixture(8);
  fixture.lost = {InstanceId("e0:1"), InstanceId("e1:1")};
  CHECK(fixture.Selected().size() == 8);
}

}  // namespace
}  // namespace millstair
