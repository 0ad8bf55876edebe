#include "bench/scale/scale_resources.h"

#include <fmt/core.h>

#include <string>
#include <utility>

namespace millstair {
namespace {

constexpr char kPool[] = "scale-pool";
constexpr char kTierLabel[] = "tier";
constexpr char kTier[] = "model";
constexpr uint32_t kAddressesPerByte = 250;
constexpr uint32_t kEnginePort = 8000;
/// A version that the store delivers to all servers well within a round of training.
constexpr uint64_t kVersionBytes = 1'000'000;
constexpr uint64_t kStoreBytesPerSecond = 10'000'000'000;

Resource Named(std::string name, Labels labels, ResourceSpec spec) {
  Resource resource;
  resource.name = std::move(name);
  resource.labels = std::move(labels);
  resource.spec = std::move(spec);
  return resource;
}

std::string ServerAddress(uint32_t number) {
  return fmt::format("10.1.{}.{}", number / kAddressesPerByte, number % kAddressesPerByte + 1);
}

}  // namespace

std::string ScaleMachineName(uint32_t number) { return fmt::format("machine-{:04}", number); }

std::vector<Resource> ScaleResources(const ScaleShape& shape) {
  const Labels tier = {{kTierLabel, kTier}};
  std::vector<Resource> resources;
  for (uint32_t i = 0; i < shape.servers; ++i) {
    MachineSpec machine;
    machine.zone = shape.zones[i % shape.zones.size()];
    machine.address = ServerAddress(i);
    resources.push_back(Named(ScaleMachineName(i), {}, machine));
    EngineSpec engine;
    engine.machine = ScaleMachineName(i);
    engine.address = fmt::format("{}:{}", machine.address, kEnginePort);
    resources.push_back(Named(fmt::format("engine-{:04}", i), tier, engine));
  }
  ModelSpec model;
  model.weight_store = "10.2.0.1:9000";
  model.version_bytes = kVersionBytes;
  model.store_bytes_per_second = kStoreBytesPerSecond;
  resources.push_back(Named(kScaleModel, tier, model));
  PoolSpec pool;
  pool.model = ModelName(kScaleModel);
  resources.push_back(Named(kPool, tier, pool));
  StreamSpec stream;
  stream.pool = kPool;
  resources.push_back(Named("scale-stream", {}, stream));
  const Selector selector{tier, {}};
  MatchSpec match;
  match.engines = selector;
  match.models = selector;
  match.workloads = selector;
  resources.push_back(Named("scale-match", {}, match));
  return resources;
}

}  // namespace millstair
