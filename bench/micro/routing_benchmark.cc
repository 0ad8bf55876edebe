/// Times routing decisions and configuration updates at the target size.
#include <benchmark/benchmark.h>
#include <fmt/core.h>

#include "common/virtual_environment.h"
#include "routing/engine_router.h"

namespace millstair {
namespace {

constexpr char kZone[] = "zone-a";
constexpr char kPool[] = "pool";
constexpr char kModel[] = "model";

Resource MakeResource(const std::string& name, Labels labels, ResourceSpec spec) {
  Resource resource;
  resource.name = name;
  resource.labels = std::move(labels);
  resource.spec = std::move(spec);
  resource.version = Revision(1);
  return resource;
}

void AddResource(Configuration& configuration, Resource resource) {
  const ResourceKey key = resource.key();
  configuration.resources.emplace(key, std::move(resource));
}

/// `engines` model engines in one zone that serve one pool.
Configuration MakeConfiguration(int64_t engines) {
  Configuration configuration;
  configuration.revision = Revision(1);
  const Labels labels = {{"tier", "model"}};
  MachineSpec machine;
  machine.zone = Zone(kZone);
  machine.address = "127.0.1.1";
  AddResource(configuration, MakeResource("machine", {}, machine));
  for (int64_t i = 0; i < engines; ++i) {
    EngineSpec engine;
    engine.machine = "machine";
    engine.address = fmt::format("127.0.1.1:{}", 10000 + i);
    AddResource(configuration, MakeResource(fmt::format("engine-{:04}", i), labels, engine));
  }
  AddResource(configuration, MakeResource(kModel, labels, ModelSpec{}));
  PoolSpec pool;
  pool.model = ModelName(kModel);
  pool.max_in_flight = 1u << 30;
  AddResource(configuration, MakeResource(kPool, labels, pool));
  MatchSpec match;
  match.engines = Selector{labels, {}};
  match.models = Selector{labels, {}};
  match.workloads = Selector{labels, {}};
  AddResource(configuration, MakeResource("match", {}, match));
  return configuration;
}

/// Adds `gateways` gateways in the zone.
void AddGateways(Configuration& configuration, int64_t gateways) {
  for (int64_t i = 0; i < gateways; ++i) {
    NodeRecord node;
    node.node = NodeId(fmt::format("gateway-{:04}", i));
    node.zone = Zone(kZone);
    node.gateway = true;
    configuration.nodes.emplace(node.node, node);
  }
}

EngineReport MakeReport() {
  EngineReport report;
  report.incarnation = Incarnation(1);
  report.model = ModelName(kModel);
  report.active_version = WeightVersion(1);
  report.running_sequences = 10;
  report.max_sequences = 64;
  report.free_kv_blocks = 3000;
  report.total_kv_blocks = 4096;
  report.step_time = std::chrono::milliseconds(15);
  return report;
}

void MeasureRoutingDecision(benchmark::State& state) {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  RouterOptions options;
  options.zone = Zone(kZone);
  EngineRouter router(environment, options);
  const Configuration configuration = MakeConfiguration(state.range(0));
  router.UpdateConfiguration(configuration);
  for (const auto& [key, resource] : configuration.resources) {
    if (key.kind != ResourceKind::kEngine) continue;
    router.ApplyReport(EngineName(key.name), MakeReport(), environment.Now());
  }
  RoutingRequest request;
  request.model = ModelName(kModel);
  request.prompt_tokens = 512;
  request.expected_tokens = 128;
  request.prefix_blocks.assign(request.prompt_tokens / kPrefixBlockTokens, 7);
  const ResourceKey workload{ResourceKind::kPool, kPool};
  uint64_t placed = 0;
  for (auto _ : state) {
    const auto placement = router.Place(workload, request);
    if (placement.has_value()) {
      ++placed;
      router.End(placement->id, PlacementOutcome{});
    }
  }
  if (placed == 0) state.SkipWithError("no engine accepted the request");
}
BENCHMARK(MeasureRoutingDecision)->Arg(9)->Arg(131)->Arg(920);

/// Times applying a new revision without other changes, for (engines, gateways).
void MeasureConfigurationChange(benchmark::State& state) {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  RouterOptions options;
  options.zone = Zone(kZone);
  EngineRouter router(environment, options);
  Configuration configuration = MakeConfiguration(state.range(0));
  AddGateways(configuration, state.range(1));
  for (auto _ : state) {
    configuration.revision = Next(configuration.revision);
    router.UpdateConfiguration(configuration);
  }
  if (router.observers().gateway_count() != state.range(1)) state.SkipWithError("gateways missing");
}
BENCHMARK(MeasureConfigurationChange)
    ->Args({9, 3})
    ->Args({131, 57})
    ->Args({920, 57})
    ->Args({920, 133});

}  // namespace
}  // namespace millstair
