#pragma once

#include <string>

#include "cluster/configuration.h"
#include "fmt/format.h"

namespace millstair {

inline Resource MakeResource(std::string name, ResourceSpec spec, Labels labels = {}) {
  Resource resource;
  resource.name = std::move(name);
  resource.labels = std::move(labels);
  resource.spec = std::move(spec);
  return resource;
}

class ConfigurationBuilder {
 public:
  ConfigurationBuilder() {
    Put(MakeResource("caption", ModelSpec{}, {{"app", "caption"}}));
    TrafficGroupSpec live;
    live.model = ModelName("caption");
    live.path_prefix = "/v1/";
    Put(MakeResource("live", live, {{"app", "caption"}}));
    Put(MakeResource("pool", PoolSpec{.model = ModelName("caption"), .max_in_flight = 1000},
                     {{"app", "caption"}}));
    TrafficGroupSpec pages;
    pages.path_prefix = "/";
    Put(MakeResource("pages", pages, {{"app", "pages"}}));
    Put(MakeResource("captions",
                     MatchSpec{Select("caption"), Select("caption"), Select("caption")}));
    Put(MakeResource("galleries", MatchSpec{Select("pages"), std::nullopt, Select("pages")}));
  }

  /// Adds a machine in `zone` with one engine of the same name; its address is "<name>:1".
  ConfigurationBuilder& Engine(const std::string& name, const std::string& zone,
                               EngineType type = EngineType::kModel) {
    Put(MakeResource("m-" + name, MachineSpec{Zone(zone), "10.0.0." + name}));
    const std::string app = type == EngineType::kModel ? "caption" : "pages";
    Put(MakeResource(name, EngineSpec{type, "m-" + name, name + ":1"}, {{"app", app}}));
    return *this;
  }
  ConfigurationBuilder& Gateway(const std::string& name, const std::string& zone) {
    NodeRecord node;
    node.node = NodeId(name);
    node.incarnation = Incarnation(1);
    node.zone = Zone(zone);
    node.gateway = true;
    configuration_.nodes[node.node] = node;
    return *this;
  }
  ConfigurationBuilder& Drain(const std::string& engine) {
    auto& resource = configuration_.resources.at({ResourceKind::kEngine, engine});
    std::get<EngineSpec>(resource.spec).drain = true;
    return *this;
  }
  ConfigurationBuilder& Put(Resource resource) {
    configuration_.resources[resource.key()] = std::move(resource);
    return *this;
  }
  Configuration Build() {
    configuration_.revision = Next(configuration_.revision);
    return configuration_;
  }
  Configuration& mutable_configuration() { return configuration_; }

 private:
  static Selector Select(const std::string& app) { return Selector{{{"app", app}}, {}}; }
  Configuration configuration_;
};

inline ResourceKey LiveGroup() { return {ResourceKind::kTrafficGroup, "live"}; }
inline ResourceKey PagesGroup() { return {ResourceKind::kTrafficGroup, "pages"}; }
inline ResourceKey RolloutPool() { return {ResourceKind::kPool, "pool"}; }

/// A report of an engine that serves "caption" version 1 with `running` of 32 sequences.
inline EngineReport ReportWith(uint32_t running) {
  EngineReport report;
  report.incarnation = Incarnation(1);
  report.model = ModelName("caption");
  report.active_version = WeightVersion(1);
  report.running_sequences = running;
  report.max_sequences = 32;
  report.total_kv_blocks = 4096;
  report.free_kv_blocks = 4096 - 16 * running;
  report.step_time = std::chrono::microseconds(15000 + 250 * running);
  return report;
}

inline RoutingRequest LiveRequest(uint32_t prompt_tokens = 32, uint32_t expected_tokens = 40) {
  RoutingRequest request;
  request.model = ModelName("caption");
  request.prompt_tokens = prompt_tokens;
  request.expected_tokens = expected_tokens;
  return request;
}

}  // namespace millstair
