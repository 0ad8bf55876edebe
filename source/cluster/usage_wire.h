/// Conversion of usage reports, usage sums and lease announcements to and from the nanopb structs
/// of api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "cluster/task_leases.h"
#include "metering/usage_ledger.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_UsageReport ToWire(WireArena& arena, const UsageReport& report);
/// False if the report has no gateway or no number.
bool FromWire(const millstair_UsageReport& wire, UsageReport& report);

millstair_AnnounceDuty ToWire(WireArena& arena, const LeaseAnnouncement& announcement);
/// False without a holder or a subject.
bool FromWire(const millstair_AnnounceDuty& wire, LeaseAnnouncement& announcement);

millstair_UsageLedger ToWire(WireArena& arena, const UsageLedger::State& state);
/// False if a count or a reporting gateway is invalid.
bool FromWire(const millstair_UsageLedger& wire, UsageLedger::State& state);

}  // namespace millstair
