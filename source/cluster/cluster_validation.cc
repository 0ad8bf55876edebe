#include "cluster/cluster_validation.h"

#include <vector>

#include "fmt/format.h"

namespace millstair {
namespace {

constexpr size_t kMaxNameBytes = 253;

/// Resources that a spec refers to; one overload per kind.
struct ReferenceCollector {
  std::vector<ResourceKey> operator()(const MachineSpec&) const { return {}; }
  std::vector<ResourceKey> operator()(const EngineSpec& spec) const {
    return {{ResourceKind::kMachine, spec.machine}};
  }
  std::vector<ResourceKey> operator()(const ModelSpec&) const { return {}; }
  std::vector<ResourceKey> operator()(const AdapterSpec& spec) const {
    return {{ResourceKind::kModel, spec.model.value()}};
  }
  std::vector<ResourceKey> operator()(const PoolSpec& spec) const {
    return {{ResourceKind::kModel, spec.model.value()}};
  }
  std::vector<ResourceKey> operator()(const StreamSpec& spec) const {
    return {{ResourceKind::kPool, spec.pool}};
  }
  std::vector<ResourceKey> operator()(const TrafficGroupSpec& spec) const {
    if (spec.model.value().empty()) return {};
    return {{ResourceKind::kModel, spec.model.value()}};
  }
  std::vector<ResourceKey> operator()(const MatchSpec&) const { return {}; }
};

std::vector<ResourceKey> References(const Resource& resource) {
  return std::visit(ReferenceCollector{}, resource.spec);
}

std::string_view NameOf(ResourceKind kind) {
  constexpr std::string_view kNames[] = {"Machine", "Engine", "Model",        "Adapter",
                                         "Pool",    "Stream", "TrafficGroup", "Match"};
  return kNames[static_cast<size_t>(kind)];
}

std::string Describe(const ResourceKey& key) {
  return fmt::format("{}/{}", NameOf(key.kind), key.name);
}

}  // namespace

void ValidateResource(const std::map<ResourceKey, Resource>& resources, const Resource& resource,
                      Findings& findings) {
  const std::string name = Describe(resource.key());
  if (resource.name.empty()) findings.Add({}, name + ": the name is empty");
  if (resource.name.size() > kMaxNameBytes) findings.Add({}, name + ": the name is too long");
  for (const ResourceKey& reference : References(resource)) {
    if (resources.contains(reference)) continue;
    findings.Add({}, fmt::format("{}: {} does not exist", name, Describe(reference)));
  }
}

void ValidateDeletion(const std::map<ResourceKey, Resource>& resources, const ResourceKey& key,
                      Findings& findings) {
  for (const auto& [other, resource] : resources) {
    for (const ResourceKey& reference : References(resource)) {
      if (reference != key) continue;
      findings.Add({}, fmt::format("{}: {} names it", Describe(key), Describe(other)));
    }
  }
}

}  // namespace millstair
