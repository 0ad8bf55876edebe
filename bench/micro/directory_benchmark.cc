/// Times applying a change of one back end to the directory of a gateway, and picking a back end of
/// a service, by the number of back ends.
#include <benchmark/benchmark.h>

#include "common/virtual_environment.h"
#include "fmt/format.h"
#include "ingress/backend_directory.h"

namespace millstair {
namespace {

constexpr int kServices = 10;

BackendInstance ServerNumber(int number) {
  BackendInstance instance;
  instance.id = InstanceId(fmt::format("i-{:08x}@1764720000000", number));
  instance.service = ServiceName(fmt::format("service{}", number % kServices));
  instance.address =
      fmt::format("10.{}.{}.{}:8080", number >> 16, (number >> 8) & 255, number & 255);
  instance.zone = Zone("z1");
  instance.slots = 8;
  instance.sequence = 1;
  instance.registered_at = Revision(1);
  instance.models = {{ModelName("model"), WeightVersion(1)}};
  return instance;
}

/// A directory with `servers` back ends.
struct KnownServers {
  explicit KnownServers(int servers) {
    for (int i = 0; i < servers; ++i) {
      const BackendInstance server = ServerNumber(i);
      configuration.instances[server.id] = server;
    }
    directory.Update(configuration);
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  BackendDirectory directory{environment, Zone("z1")};
  Configuration configuration;
};

void OneServerChanges(benchmark::State& state) {
  KnownServers known(static_cast<int>(state.range(0)));
  ConfigurationDelta changes;
  changes.changed_instances = {known.configuration.instances.begin()->second};
  for (auto _ : state) {
    ++changes.changed_instances[0].sequence;
    known.directory.Apply(Configuration(), changes);
  }
}
BENCHMARK(OneServerChanges)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

void PickOfOneService(benchmark::State& state) {
  KnownServers known(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(known.directory.Pick(ServiceName("service1"), {}));
}
BENCHMARK(PickOfOneService)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace millstair
