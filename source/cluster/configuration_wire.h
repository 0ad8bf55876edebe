/// Conversion of the configuration to and from the nanopb structs of api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "cluster/cluster_commands.h"
#include "cluster/configuration.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_PublishedVersion ToWire(WireArena& arena, const PublishedVersion& version);
millstair_ModelStatus ToWire(WireArena& arena, const ModelStatus& status);
millstair_NodeRecord ToWire(WireArena& arena, const NodeRecord& record);
millstair_MachineStatus ToWire(WireArena& arena, const MachineStatus& status);
millstair_EngineStatus ToWire(WireArena& arena, const EngineStatus& status);
millstair_FoundingMember ToWire(WireArena& arena, const GroupMember& member);
millstair_FoundGroup ToWire(WireArena& arena, const BootstrapStreamGroup& bootstrap);

/// False for an unknown enumerator.
bool FromWire(const millstair_PublishedVersion& wire, PublishedVersion& version);
bool FromWire(const millstair_ModelStatus& wire, ModelStatus& status);
bool FromWire(const millstair_NodeRecord& wire, NodeRecord& record);
bool FromWire(const millstair_MachineStatus& wire, MachineStatus& status);
bool FromWire(const millstair_EngineStatus& wire, EngineStatus& status);
bool FromWire(const millstair_FoundingMember& wire, GroupMember& member);
bool FromWire(const millstair_FoundGroup& wire, BootstrapStreamGroup& bootstrap);

millstair_RoutingDocument ToWire(WireArena& arena, const RoutingDocument& document);
bool FromWire(const millstair_RoutingDocument& wire, RoutingDocument& document);
millstair_NamedVersion ToWire(WireArena& arena, const NamedVersion& named);
bool FromWire(const millstair_NamedVersion& wire, NamedVersion& named);
millstair_BackendInstance ToWire(WireArena& arena, const BackendInstance& instance);
bool FromWire(const millstair_BackendInstance& wire, BackendInstance& instance);
millstair_JobGroupPlacement ToWire(WireArena& arena, const GroupId& group,
                                   const JobGroupPlacement& placement);
bool FromWire(const millstair_JobGroupPlacement& wire, JobGroupPlacement& placement);
millstair_JobGroup ToWire(WireArena& arena, const JobGroup& group);
bool FromWire(const millstair_JobGroup& wire, JobGroup& group);

millstair_EvacuatedZone ToWire(WireArena& arena, const EvacuatedZone& evacuated);
bool FromWire(const millstair_EvacuatedZone& wire, EvacuatedZone& evacuated);
millstair_RetiredNode ToWire(WireArena& arena, const RetiredNode& retired);
bool FromWire(const millstair_RetiredNode& wire, RetiredNode& retired);

}  // namespace millstair
