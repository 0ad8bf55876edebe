#include "simulator/fleet/deployment.h"

#include "fmt/format.h"

namespace millstair::simulator {
namespace {

/// Parameters that differ between the deployments.
struct DeploymentShape {
  std::string cluster_id;
  std::vector<std::string> zones;
  Duration between_zones;
  Duration to_clients;
  size_t engines;
  size_t servers;
  std::string model;
  std::vector<std::string> streams;
  double idle_time_weight;
};

DeploymentShape ShapeOf(DeploymentName deployment) {
  if (deployment == DeploymentName::kAssociation) {
    return {"association",
            {"dar-kariakoo", "dar-msasani", "dar-kurasini"},
            std::chrono::microseconds(500),
            std::chrono::milliseconds(1),
            8,
            3,
            "caption",
            {"caption-rounds"},
            0.9};
  }
  return {"khosa",
          {"nbo-a", "nbo-b", "nbo-c"},
          std::chrono::microseconds(1500),
          std::chrono::milliseconds(3),
          9,
          4,
          "routing",
          {"dispatch-drafts", "tank-summaries"},
          0.1};
}

constexpr uint64_t kStoreBytesPerSecond = 400'000'000;
constexpr uint64_t kVersionBytes = 50'000'000;

std::vector<NodePlan> PlanNodes(const DeploymentShape& shape, const std::string& role, size_t count,
                                int subnet) {
  std::vector<NodePlan> nodes;
  for (size_t i = 0; i < count; ++i) {
    const size_t zone = i % shape.zones.size();
    const std::string ip = fmt::format("10.{}.{}.{}", subnet, zone + 1, i + 1);
    nodes.push_back({NodeId(fmt::format("{}-{}", role, i + 1)), Zone(shape.zones[zone]),
                     ip + ":7000", ip + ":8000", i < shape.zones.size()});
  }
  return nodes;
}

std::vector<BackendPlan> PlanBackends(const DeploymentShape& shape, const std::string& role,
                                      size_t count, int subnet) {
  std::vector<BackendPlan> backends;
  for (size_t i = 0; i < count; ++i) {
    const size_t zone = i % shape.zones.size();
    const std::string ip = fmt::format("10.{}.{}.{}", subnet, zone + 1, i + 1);
    backends.push_back(
        {EngineName(fmt::format("{}-{}", role, i + 1)), Zone(shape.zones[zone]), ip, ip + ":9000"});
  }
  return backends;
}

void AddBackends(std::vector<Resource>& resources, const std::vector<BackendPlan>& backends,
                 EngineType type, const std::string& serves) {
  for (const BackendPlan& backend : backends) {
    const std::string machine = "machine-" + backend.name.value();
    resources.push_back({machine,
                         {{"zone", backend.zone.value()}},
                         MachineSpec{.zone = backend.zone, .address = backend.machine_address},
                         {}});
    resources.push_back({backend.name.value(),
                         {{"serves", serves}},
                         EngineSpec{.type = type, .machine = machine, .address = backend.address},
                         {}});
  }
}

TrafficGroupSpec PlainGroup(const std::string& prefix) {
  TrafficGroupSpec group;
  group.path_prefix = prefix;
  group.deadline = std::chrono::seconds(10);
  return group;
}

void AddTraffic(std::vector<Resource>& resources, const DeploymentPlan& plan) {
  TrafficGroupSpec completions;
  completions.path_prefix = "/v1/";
  completions.model = plan.model;
  resources.push_back({"completions", {{"workload", "text"}}, completions, {}});
  resources.push_back({"pages", {{"workload", "web"}}, PlainGroup("/gallery"), {}});
  TrafficGroupSpec lookups = PlainGroup("/lookup");
  lookups.hedge_after = std::chrono::milliseconds(500);
  resources.push_back({"lookups", {{"workload", "web"}}, lookups, {}});
  TrafficGroupSpec bookings = PlainGroup("/bookings");
  bookings.repeatable = false;
  bookings.priority = 3;
  resources.push_back({"bookings", {{"workload", "web"}}, bookings, {}});
}

Selector Labelled(const std::string& key, const std::string& value) {
  Selector selector;
  selector.match_labels = {{key, value}};
  return selector;
}

}  // namespace

std::string_view Name(DeploymentName deployment) {
  return deployment == DeploymentName::kAssociation ? "association" : "khosa";
}

absl::StatusOr<DeploymentName> ParseDeployment(std::string_view name) {
  if (name == "association") return DeploymentName::kAssociation;
  if (name == "khosa") return DeploymentName::kKhosa;
  return absl::InvalidArgumentError(
      fmt::format("unknown deployment '{}'; must be association or khosa", name));
}

DeploymentPlan PlanDeployment(const FleetOptions& options) {
  const DeploymentShape shape = ShapeOf(options.deployment);
  DeploymentPlan plan;
  plan.cluster_id = shape.cluster_id;
  plan.latencies.between_zones = shape.between_zones;
  plan.latencies.to_clients = shape.to_clients;
  for (const std::string& zone : shape.zones) plan.zones.emplace_back(zone);
  plan.controls = PlanNodes(shape, "control", shape.zones.size() + 1, 1);
  plan.gateways = PlanNodes(shape, "gateway", shape.zones.size(), 2);
  plan.engines = PlanBackends(shape, "engine", shape.engines, 3);
  plan.servers = PlanBackends(shape, "server", shape.servers, 4);
  plan.model = ModelName(shape.model);
  for (const std::string& stream : shape.streams) {
    plan.streams.push_back({StreamName(stream), plan.model, options.staleness_bound,
                            options.idle_time_weight.value_or(shape.idle_time_weight),
                            plan.streams.empty()});
  }
  plan.weight_store = "10.5.1.1:9000";
  plan.scorer = "10.5.1.2:9000";
  plan.machine_list = "10.5.1.3:9000";
  plan.store_bytes_per_second = kStoreBytesPerSecond;
  plan.version_bytes = kVersionBytes;
  return plan;
}

std::vector<Resource> InitialResources(const DeploymentPlan& plan, const FleetOptions& options) {
  std::vector<Resource> resources;
  AddBackends(resources, plan.engines, EngineType::kModel, "text");
  AddBackends(resources, plan.servers, EngineType::kHttp, "web");
  resources.push_back({plan.model.value(),
                       {{"model", plan.model.value()}},
                       ModelSpec{.weight_store = plan.weight_store,
                                 .store_bytes_per_second = plan.store_bytes_per_second,
                                 .version_bytes = plan.version_bytes},
                       {}});
  PoolSpec pool;
  pool.model = plan.model;
  pool.max_in_flight = 256;
  resources.push_back({"rollouts", {{"workload", "text"}}, pool, {}});
  for (const StreamPlan& stream : plan.streams) {
    StreamSpec spec;
    spec.pool = "rollouts";
    spec.staleness_bound = stream.staleness_bound;
    spec.idle_time_weight = stream.idle_time_weight;
    spec.max_tokens = options.trainer.max_tokens;
    spec.scorer = plan.scorer;
    resources.push_back({stream.name.value(), {}, spec, {}});
  }
  AddTraffic(resources, plan);
  resources.push_back({"text",
                       {},
                       MatchSpec{Labelled("workload", "text"),
                                 Labelled("model", plan.model.value()), Labelled("serves", "text")},
                       {}});
  resources.push_back(
      {"web", {}, MatchSpec{Labelled("workload", "web"), {}, Labelled("serves", "web")}, {}});
  return resources;
}

std::string LocationOf(const ModelName& model, WeightVersion version) {
  return fmt::format("{}/{}", model.value(), version.value());
}

WeightDigest DigestOf(const ModelName& model, WeightVersion version) {
  const uint64_t hash = std::hash<std::string>()(LocationOf(model, version));
  return WeightDigest(fmt::format("{:016x}", hash));
}

}  // namespace millstair::simulator
