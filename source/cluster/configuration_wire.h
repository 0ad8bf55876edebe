/// Members and models of the configuration as nanopb structs of api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "cluster/configuration.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_PublishedVersion ToWire(WireArena& arena, const PublishedVersion& version);
millstair_ModelStatus ToWire(WireArena& arena, const ModelStatus& status);
millstair_NodeRecord ToWire(WireArena& arena, const NodeRecord& record);
millstair_MachineStatus ToWire(WireArena& arena, const MachineStatus& status);
millstair_EngineStatus ToWire(WireArena& arena, const EngineStatus& status);

/// False if an enumerator is unknown.
bool FromWire(const millstair_PublishedVersion& wire, PublishedVersion& version);
bool FromWire(const millstair_ModelStatus& wire, ModelStatus& status);
bool FromWire(const millstair_NodeRecord& wire, NodeRecord& record);
bool FromWire(const millstair_MachineStatus& wire, MachineStatus& status);
bool FromWire(const millstair_EngineStatus& wire, EngineStatus& status);

}  // namespace millstair
