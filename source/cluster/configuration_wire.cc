#include "cluster/configuration_wire.h"

#include "cluster/resource_wire.h"
#include "cluster/suspect_wire.h"

namespace millstair {
namespace {

bool StateFromWire(uint32_t wire, MemberState& state) {
  if (wire < static_cast<uint32_t>(MemberState::kLive)) return false;
  if (wire > static_cast<uint32_t>(MemberState::kGone)) return false;
  state = static_cast<MemberState>(wire);
  return true;
}

/// Strings of strong string ids, for a `repeated string` field.
template <class Id>
char** NewIds(WireArena& arena, const std::vector<Id>& ids, pb_size_t* count) {
  std::vector<std::string> strings;
  strings.reserve(ids.size());
  for (const Id& id : ids) strings.push_back(id.value());
  return NewStrings(arena, strings, count);
}

template <class Id>
std::vector<Id> IdsFromWire(char* const* strings, pb_size_t count) {
  std::vector<Id> ids;
  ids.reserve(count);
  for (pb_size_t i = 0; i < count; ++i) ids.emplace_back(ToString(strings[i]));
  return ids;
}

bool ChangesFromWire(const millstair_ConfigurationDelta& wire, ConfigurationDelta& delta) {
  return FromWireArray(wire.changed_resources, wire.changed_resources_count,
                       delta.changed_resources) &&
         FromWireArray(wire.deleted_resources, wire.deleted_resources_count,
                       delta.deleted_resources) &&
         FromWireArray(wire.changed_models, wire.changed_models_count, delta.changed_models) &&
         FromWireArray(wire.changed_nodes, wire.changed_nodes_count, delta.changed_nodes) &&
         FromWireArray(wire.changed_machines, wire.changed_machines_count,
                       delta.changed_machines) &&
         FromWireArray(wire.changed_engines, wire.changed_engines_count, delta.changed_engines) &&
         FromWireArray(wire.changed_instances, wire.changed_instances_count,
                       delta.changed_instances) &&
         FromWireArray(wire.changed_versions, wire.changed_versions_count,
                       delta.changed_versions) &&
         FromWireArray(wire.changed_job_groups, wire.changed_job_groups_count,
                       delta.changed_job_groups) &&
         FromWireArray(wire.changed_retired_nodes, wire.changed_retired_nodes_count,
                       delta.changed_retired_nodes) &&
         FromWireArray(wire.changed_suspects, wire.changed_suspects_count,
                       delta.changed_suspects) &&
         FromWireArray(wire.changed_evacuations, wire.changed_evacuations_count,
                       delta.changed_evacuations);
}

}  // namespace

millstair_PublishedVersion ToWire(WireArena& arena, const PublishedVersion& version) {
  millstair_PublishedVersion wire = millstair_PublishedVersion_init_zero;
  wire.version = version.version.value();
  wire.digest = arena.NewString(version.digest.value());
  wire.location = arena.NewString(version.location);
  return wire;
}

bool FromWire(const millstair_PublishedVersion& wire, PublishedVersion& version) {
  version.version = WeightVersion(wire.version);
  version.digest = WeightDigest(ToString(wire.digest));
  version.location = ToString(wire.location);
  return true;
}

millstair_ModelStatus ToWire(WireArena& arena, const ModelStatus& status) {
  millstair_ModelStatus wire = millstair_ModelStatus_init_zero;
  wire.model = arena.NewString(status.model.value());
  wire.published =
      NewWireArray<millstair_PublishedVersion>(arena, status.published, &wire.published_count);
  wire.staged = status.staged.value();
  wire.active = status.active.value();
  wire.staged_at = status.staged_at.value();
  wire.active_at = status.active_at.value();
  return wire;
}

bool FromWire(const millstair_ModelStatus& wire, ModelStatus& status) {
  status.model = ModelName(ToString(wire.model));
  status.staged = WeightVersion(wire.staged);
  status.active = WeightVersion(wire.active);
  status.staged_at = Revision(wire.staged_at);
  status.active_at = Revision(wire.active_at);
  return FromWireArray(wire.published, wire.published_count, status.published);
}

millstair_NodeRecord ToWire(WireArena& arena, const NodeRecord& record) {
  millstair_NodeRecord wire = millstair_NodeRecord_init_zero;
  wire.node = arena.NewString(record.node.value());
  wire.incarnation = record.incarnation.value();
  wire.zone = arena.NewString(record.zone.value());
  wire.address = arena.NewString(record.address);
  wire.control = record.control;
  wire.gateway = record.gateway;
  wire.state = static_cast<uint32_t>(record.state);
  wire.storage = record.storage;
  wire.replica = record.replica.value();
  wire.machine = arena.NewString(record.machine);
  return wire;
}

bool FromWire(const millstair_NodeRecord& wire, NodeRecord& record) {
  record.node = NodeId(ToString(wire.node));
  record.incarnation = Incarnation(wire.incarnation);
  record.zone = Zone(ToString(wire.zone));
  record.address = ToString(wire.address);
  record.control = wire.control;
  record.gateway = wire.gateway;
  record.storage = wire.storage;
  record.replica = ReplicaId(wire.replica);
  record.machine = ToString(wire.machine);
  return StateFromWire(wire.state, record.state);
}

millstair_MachineStatus ToWire(WireArena& arena, const MachineStatus& status) {
  millstair_MachineStatus wire = millstair_MachineStatus_init_zero;
  wire.machine = arena.NewString(status.machine);
  wire.platform_state = static_cast<uint32_t>(status.platform_state);
  return wire;
}

bool FromWire(const millstair_MachineStatus& wire, MachineStatus& status) {
  status.machine = ToString(wire.machine);
  return StateFromWire(wire.platform_state, status.platform_state);
}

millstair_EngineStatus ToWire(WireArena& arena, const EngineStatus& status) {
  millstair_EngineStatus wire = millstair_EngineStatus_init_zero;
  wire.engine = arena.NewString(status.engine.value());
  wire.incarnation = status.incarnation.value();
  wire.state = static_cast<uint32_t>(status.state);
  return wire;
}

bool FromWire(const millstair_EngineStatus& wire, EngineStatus& status) {
  status.engine = EngineName(ToString(wire.engine));
  status.incarnation = Incarnation(wire.incarnation);
  return StateFromWire(wire.state, status.state);
}

millstair_FoundingMember ToWire(WireArena& arena, const GroupMember& member) {
  millstair_FoundingMember wire = millstair_FoundingMember_init_zero;
  wire.replica = member.replica.value();
  wire.node = arena.NewString(member.node.value());
  wire.address = arena.NewString(member.address);
  wire.voter = member.voter;
  return wire;
}

bool FromWire(const millstair_FoundingMember& wire, GroupMember& member) {
  member = {ReplicaId(wire.replica), NodeId(ToString(wire.node)), ToString(wire.address),
            wire.voter};
  return member.replica != ReplicaId();
}

millstair_FoundGroup ToWire(WireArena& arena, const BootstrapStreamGroup& bootstrap) {
  millstair_FoundGroup wire = millstair_FoundGroup_init_zero;
  wire.stream = arena.NewString(bootstrap.stream.value());
  wire.generation = bootstrap.generation.value();
  wire.founders = NewWireArray<millstair_FoundingMember>(arena, bootstrap.initial_members,
                                                         &wire.founders_count);
  return wire;
}

bool FromWire(const millstair_FoundGroup& wire, BootstrapStreamGroup& bootstrap) {
  bootstrap.stream = StreamName(ToString(wire.stream));
  bootstrap.generation = Revision(wire.generation);
  return FromWireArray(wire.founders, wire.founders_count, bootstrap.initial_members) &&
         !bootstrap.initial_members.empty();
}

millstair_RoutingDocument ToWire(WireArena& arena, const RoutingDocument& document) {
  millstair_RoutingDocument wire = millstair_RoutingDocument_init_zero;
  wire.version = document.version;
  wire.content = arena.NewChunkedBytes(document.content, &wire.content_count);
  return wire;
}

bool FromWire(const millstair_RoutingDocument& wire, RoutingDocument& document) {
  document.version = wire.version;
  document.content = JoinBytes(wire.content, wire.content_count);
  return document.version != 0;
}

millstair_NamedVersion ToWire(WireArena& arena, const NamedVersion& named) {
  millstair_NamedVersion wire = millstair_NamedVersion_init_zero;
  wire.model = arena.NewString(named.model.value());
  wire.version = named.version.value();
  return wire;
}

bool FromWire(const millstair_NamedVersion& wire, NamedVersion& named) {
  named.model = ModelName(ToString(wire.model));
  named.version = WeightVersion(wire.version);
  return !named.model.value().empty();
}

millstair_BackendInstance ToWire(WireArena& arena, const BackendInstance& instance) {
  millstair_BackendInstance wire = millstair_BackendInstance_init_zero;
  wire.id = arena.NewString(instance.id.value());
  wire.service = arena.NewString(instance.service.value());
  wire.address = arena.NewString(instance.address);
  wire.zone = arena.NewString(instance.zone.value());
  wire.slots = instance.slots;
  wire.state = static_cast<uint32_t>(instance.state);
  wire.sequence = instance.sequence;
  wire.models = NewWireArray<millstair_NamedVersion>(arena, instance.models, &wire.models_count);
  wire.registered_at = instance.registered_at.value();
  wire.superseded = instance.superseded;
  wire.cold_left_milliseconds = static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(instance.cold_left).count());
  wire.cold_at = instance.cold_at.value();
  wire.spot = instance.spot;
  wire.has_rival = instance.rival.reports > 0;
  if (wire.has_rival) {
    wire.rival.id = arena.NewString(instance.rival.id.value());
    wire.rival.sequence = instance.rival.sequence;
    wire.rival.reports = instance.rival.reports;
  }
  return wire;
}

bool FromWire(const millstair_BackendInstance& wire, BackendInstance& instance) {
  instance.id = InstanceId(ToString(wire.id));
  instance.service = ServiceName(ToString(wire.service));
  instance.address = ToString(wire.address);
  instance.zone = Zone(ToString(wire.zone));
  instance.slots = wire.slots;
  instance.sequence = wire.sequence;
  instance.registered_at = Revision(wire.registered_at);
  instance.superseded = wire.superseded;
  instance.cold_left = std::chrono::milliseconds(wire.cold_left_milliseconds);
  instance.cold_at = Revision(wire.cold_at);
  instance.spot = wire.spot;
  if (wire.has_rival) {
    instance.rival = {InstanceId(ToString(wire.rival.id)), wire.rival.sequence, wire.rival.reports};
  }
  return StateFromWire(wire.state, instance.state) &&
         FromWireArray(wire.models, wire.models_count, instance.models) &&
         !instance.id.value().empty();
}

millstair_JobGroupPlacement ToWire(WireArena& arena, const GroupId& group,
                                   const JobGroupPlacement& placement) {
  millstair_JobGroupPlacement wire = millstair_JobGroupPlacement_init_zero;
  wire.group = arena.NewString(group.value());
  wire.term = placement.term.value();
  wire.sequence = placement.sequence;
  wire.leader = arena.NewString(placement.leader.value());
  wire.members =
      NewWireArray<millstair_FoundingMember>(arena, placement.members, &wire.members_count);
  return wire;
}

bool FromWire(const millstair_JobGroupPlacement& wire, JobGroupPlacement& placement) {
  placement.term = Term(wire.term);
  placement.sequence = wire.sequence;
  placement.leader = NodeId(ToString(wire.leader));
  return FromWireArray(wire.members, wire.members_count, placement.members);
}

millstair_JobGroup ToWire(WireArena& arena, const JobGroup& group) {
  millstair_JobGroup wire = millstair_JobGroup_init_zero;
  wire.group = arena.NewString(group.group.value());
  wire.founders =
      NewWireArray<millstair_FoundingMember>(arena, group.initial_members, &wire.founders_count);
  wire.has_placement = group.placement.term != Term();
  if (wire.has_placement) wire.placement = ToWire(arena, group.group, group.placement);
  return wire;
}

bool FromWire(const millstair_JobGroup& wire, JobGroup& group) {
  group.group = GroupId(ToString(wire.group));
  if (wire.has_placement && !FromWire(wire.placement, group.placement)) return false;
  return FromWireArray(wire.founders, wire.founders_count, group.initial_members) &&
         !group.initial_members.empty();
}

millstair_RetiredNode ToWire(WireArena& arena, const RetiredNode& retired) {
  millstair_RetiredNode wire = millstair_RetiredNode_init_zero;
  wire.node = arena.NewString(retired.node.value());
  wire.emptied = retired.emptied;
  return wire;
}

bool FromWire(const millstair_RetiredNode& wire, RetiredNode& retired) {
  retired = {NodeId(ToString(wire.node)), wire.emptied};
  return !retired.node.value().empty();
}

millstair_EvacuatedZone ToWire(WireArena& arena, const EvacuatedZone& evacuated) {
  millstair_EvacuatedZone wire = millstair_EvacuatedZone_init_zero;
  wire.zone = arena.NewString(evacuated.zone.value());
  wire.since = evacuated.since.value();
  return wire;
}

bool FromWire(const millstair_EvacuatedZone& wire, EvacuatedZone& evacuated) {
  evacuated = {Zone(ToString(wire.zone)), Revision(wire.since)};
  return !evacuated.zone.value().empty();
}

std::string EncodeDelta(const ConfigurationDelta& delta) {
  WireArena arena;
  millstair_ConfigurationDelta wire = millstair_ConfigurationDelta_init_zero;
  wire.from = delta.from.value();
  wire.to = delta.to.value();
  wire.full = delta.full;
  wire.changed_resources = NewWireArray<millstair_Resource>(arena, delta.changed_resources,
                                                            &wire.changed_resources_count);
  wire.deleted_resources = NewWireArray<millstair_ResourceKey>(arena, delta.deleted_resources,
                                                               &wire.deleted_resources_count);
  wire.changed_models =
      NewWireArray<millstair_ModelStatus>(arena, delta.changed_models, &wire.changed_models_count);
  wire.deleted_models = NewIds(arena, delta.deleted_models, &wire.deleted_models_count);
  wire.changed_nodes =
      NewWireArray<millstair_NodeRecord>(arena, delta.changed_nodes, &wire.changed_nodes_count);
  wire.deleted_nodes = NewIds(arena, delta.deleted_nodes, &wire.deleted_nodes_count);
  wire.changed_machines = NewWireArray<millstair_MachineStatus>(arena, delta.changed_machines,
                                                                &wire.changed_machines_count);
  wire.deleted_machines = NewStrings(arena, delta.deleted_machines, &wire.deleted_machines_count);
  wire.changed_engines = NewWireArray<millstair_EngineStatus>(arena, delta.changed_engines,
                                                              &wire.changed_engines_count);
  wire.deleted_engines = NewIds(arena, delta.deleted_engines, &wire.deleted_engines_count);
  wire.has_routing = delta.routing.has_value();
  if (delta.routing) wire.routing = ToWire(arena, *delta.routing);
  wire.changed_instances = NewWireArray<millstair_BackendInstance>(arena, delta.changed_instances,
                                                                   &wire.changed_instances_count);
  wire.deleted_instances = NewIds(arena, delta.deleted_instances, &wire.deleted_instances_count);
  wire.changed_versions = NewWireArray<millstair_NamedVersion>(arena, delta.changed_versions,
                                                               &wire.changed_versions_count);
  wire.changed_job_groups = NewWireArray<millstair_JobGroup>(arena, delta.changed_job_groups,
                                                             &wire.changed_job_groups_count);
  wire.changed_retired_nodes = NewWireArray<millstair_RetiredNode>(
      arena, delta.changed_retired_nodes, &wire.changed_retired_nodes_count);
  wire.changed_suspects = NewWireArray<millstair_SuspectRequest>(arena, delta.changed_suspects,
                                                                 &wire.changed_suspects_count);
  wire.deleted_suspects = NewIds(arena, delta.deleted_suspects, &wire.deleted_suspects_count);
  wire.changed_evacuations = NewWireArray<millstair_EvacuatedZone>(arena, delta.changed_evacuations,
                                                                   &wire.changed_evacuations_count);
  wire.ended_evacuations = NewIds(arena, delta.ended_evacuations, &wire.ended_evacuations_count);
  return EncodeNanopb(millstair_ConfigurationDelta_fields, &wire);
}

absl::StatusOr<ConfigurationDelta> DecodeDelta(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_ConfigurationDelta>::Decode(
      millstair_ConfigurationDelta_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_ConfigurationDelta& wire = **decoded;
  ConfigurationDelta delta;
  delta.from = Revision(wire.from);
  delta.to = Revision(wire.to);
  delta.full = wire.full;
  if (!ChangesFromWire(wire, delta)) {
    return absl::InvalidArgumentError("configuration delta with an unknown kind or state");
  }
  delta.deleted_models = IdsFromWire<ModelName>(wire.deleted_models, wire.deleted_models_count);
  delta.deleted_nodes = IdsFromWire<NodeId>(wire.deleted_nodes, wire.deleted_nodes_count);
  delta.deleted_machines = StringsFromWire(wire.deleted_machines, wire.deleted_machines_count);
  delta.deleted_engines = IdsFromWire<EngineName>(wire.deleted_engines, wire.deleted_engines_count);
  if (wire.has_routing && !FromWire(wire.routing, delta.routing.emplace())) {
    return absl::InvalidArgumentError("configuration delta with an invalid routing document");
  }
  delta.deleted_instances =
      IdsFromWire<InstanceId>(wire.deleted_instances, wire.deleted_instances_count);
  delta.deleted_suspects =
      IdsFromWire<RequestFingerprint>(wire.deleted_suspects, wire.deleted_suspects_count);
  delta.ended_evacuations = IdsFromWire<Zone>(wire.ended_evacuations, wire.ended_evacuations_count);
  return delta;
}

}  // namespace millstair
