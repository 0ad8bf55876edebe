#include "cluster/configuration.h"

#include <xxhash.h>

#include <algorithm>

namespace millstair {
namespace {

void ClearState(Configuration& configuration) {
  configuration.resources.clear();
  configuration.models.clear();
  configuration.nodes.clear();
  configuration.machines.clear();
  configuration.engines.clear();
  configuration.routing = {};
  configuration.instances.clear();
  configuration.versions.clear();
  configuration.job_groups.clear();
  configuration.retired_nodes.clear();
  configuration.suspects.clear();
  configuration.evacuated_zones.clear();
}

void ApplyRegistrations(Configuration& configuration, const ConfigurationDelta& delta) {
  if (delta.routing) configuration.routing = *delta.routing;
  for (const BackendInstance& instance : delta.changed_instances) {
    configuration.instances[instance.id] = instance;
  }
  for (const InstanceId& id : delta.deleted_instances) configuration.instances.erase(id);
  for (const NamedVersion& named : delta.changed_versions) {
    configuration.versions[named.model] = named;
  }
  for (const JobGroup& group : delta.changed_job_groups) {
    configuration.job_groups[group.group] = group;
  }
  for (const RetiredNode& retired : delta.changed_retired_nodes) {
    configuration.retired_nodes[retired.node] = retired;
  }
  for (const SuspectRequest& suspect : delta.changed_suspects) {
    configuration.suspects[suspect.request] = suspect;
  }
  for (const RequestFingerprint& request : delta.deleted_suspects) {
    configuration.suspects.erase(request);
  }
  for (const EvacuatedZone& evacuated : delta.changed_evacuations) {
    configuration.evacuated_zones[evacuated.zone] = evacuated;
  }
  for (const Zone& zone : delta.ended_evacuations) configuration.evacuated_zones.erase(zone);
}

MemberState MoreCautious(MemberState a, MemberState b) { return std::max(a, b); }

MemberState StateOfMachine(const Configuration& configuration, const std::string& machine) {
  const auto* spec = configuration.FindSpec<MachineSpec>(ResourceKind::kMachine, machine);
  if (spec == nullptr) return MemberState::kGone;
  const bool leaves = spec->drain || configuration.evacuated_zones.contains(spec->zone);
  MemberState state = leaves ? MemberState::kLeaving : MemberState::kLive;
  const auto status = configuration.machines.find(machine);
  if (status == configuration.machines.end()) return state;
  return MoreCautious(state, status->second.platform_state);
}

}  // namespace

uint64_t DigestOf(const RoutingDocument& document) {
  if (document.version == 0) return 0;
  return XXH3_64bits(document.content.data(), document.content.size());
}

bool TouchesNodes(const ConfigurationDelta& delta) {
  return delta.full || !delta.changed_nodes.empty() || !delta.deleted_nodes.empty();
}

bool TouchesBackEnds(const ConfigurationDelta& delta) {
  return delta.full || !delta.changed_instances.empty() || !delta.deleted_instances.empty() ||
         !delta.changed_versions.empty() || delta.routing.has_value() ||
         !delta.changed_evacuations.empty() || !delta.ended_evacuations.empty();
}

bool ApplyDelta(Configuration& configuration, const ConfigurationDelta& delta) {
  if (delta.to < configuration.revision) return false;
  if (!delta.full && delta.from > configuration.revision) return false;
  if (delta.full) ClearState(configuration);
  for (const Resource& resource : delta.changed_resources) {
    configuration.resources[resource.key()] = resource;
  }
  for (const ResourceKey& key : delta.deleted_resources) configuration.resources.erase(key);
  for (const ModelStatus& status : delta.changed_models) {
    configuration.models[status.model] = status;
  }
  for (const ModelName& model : delta.deleted_models) configuration.models.erase(model);
  for (const NodeRecord& record : delta.changed_nodes) configuration.nodes[record.node] = record;
  for (const NodeId& node : delta.deleted_nodes) configuration.nodes.erase(node);
  for (const MachineStatus& status : delta.changed_machines) {
    configuration.machines[status.machine] = status;
  }
  for (const std::string& machine : delta.deleted_machines) configuration.machines.erase(machine);
  for (const EngineStatus& status : delta.changed_engines) {
    configuration.engines[status.engine] = status;
  }
  for (const EngineName& engine : delta.deleted_engines) configuration.engines.erase(engine);
  ApplyRegistrations(configuration, delta);
  configuration.revision = delta.to;
  return true;
}

bool IsKnownZone(const Configuration& configuration, const Zone& zone) {
  const auto in_zone = [&zone](const auto& entry) { return entry.second.zone == zone; };
  const auto machine_in_zone = [&zone](const auto& entry) {
    const auto* machine = std::get_if<MachineSpec>(&entry.second.spec);
    return machine != nullptr && machine->zone == zone;
  };
  return std::any_of(configuration.nodes.begin(), configuration.nodes.end(), in_zone) ||
         std::any_of(configuration.instances.begin(), configuration.instances.end(), in_zone) ||
         std::any_of(configuration.resources.begin(), configuration.resources.end(),
                     machine_in_zone);
}

std::vector<NodeId> LiveControlNodes(const Configuration& configuration) {
  std::vector<NodeId> nodes;
  for (const auto& [node, record] : configuration.nodes) {
    if (record.control && record.state != MemberState::kGone) nodes.push_back(node);
  }
  return nodes;
}

MemberState EffectiveState(const Configuration& configuration, const EngineName& engine) {
  const auto* spec = configuration.FindSpec<EngineSpec>(ResourceKind::kEngine, engine.value());
  if (spec == nullptr) return MemberState::kGone;
  MemberState state = spec->drain ? MemberState::kLeaving : MemberState::kLive;
  state = MoreCautious(state, StateOfMachine(configuration, spec->machine));
  const auto reported = configuration.engines.find(engine);
  if (reported == configuration.engines.end()) return state;
  return MoreCautious(state, reported->second.state);
}

}  // namespace millstair
