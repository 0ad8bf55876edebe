/// Usage reports, sums of usage and announcements of duties as nanopb structs of api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "cluster/task_leases.h"
#include "metering/usage_ledger.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_UsageReport ToWire(WireArena& arena, const UsageReport& report);
/// False if the report names no gateway or has no number.
bool FromWire(const millstair_UsageReport& wire, UsageReport& report);

millstair_AnnounceDuty ToWire(WireArena& arena, const LeaseAnnouncement& announcement);
/// False if the holder or the subject is missing.
bool FromWire(const millstair_AnnounceDuty& wire, LeaseAnnouncement& announcement);

millstair_UsageLedger ToWire(WireArena& arena, const UsageLedger::State& state);
/// False if a count or a reported gateway is not sound.
bool FromWire(const millstair_UsageLedger& wire, UsageLedger::State& state);

}  // namespace millstair
