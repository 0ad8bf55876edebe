/// Conversion of the records of ordered servers to and from the nanopb structs of
/// api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "cluster/pool_records.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_PoolSize ToWire(WireArena& arena, const PoolSize& size);
/// False without a service or a zone, or if fewer than the initial number are wanted.
bool FromWire(const millstair_PoolSize& wire, PoolSize& size);

millstair_PoolReport ToWire(WireArena& arena, const PoolReport& report);
/// False if a need has no service or a number that is not finite.
bool FromWire(const millstair_PoolReport& wire, PoolReport& report);

}  // namespace millstair
