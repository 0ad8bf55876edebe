/// Conversion of suspect requests to and from the nanopb structs of api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "cluster/cluster_commands.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_SuspectRequest ToWire(WireArena& arena, const SuspectRequest& suspect);
millstair_SuspectRequest ToWire(WireArena& arena, const CrashReport& report);
/// False without a fingerprint.
bool FromWire(const millstair_SuspectRequest& wire, SuspectRequest& suspect);
bool FromWire(const millstair_SuspectRequest& wire, CrashReport& report);

}  // namespace millstair
