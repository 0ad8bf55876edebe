#include "cluster/usage_wire.h"

#include "cluster/resource_wire.h"

namespace millstair {

static millstair_UsageCount ToWire(WireArena& arena, const UsageCount& count) {
  millstair_UsageCount wire = millstair_UsageCount_init_zero;
  wire.window = count.window.value();
  wire.tenant = arena.NewString(count.tenant.value());
  wire.requests = count.requests;
  return wire;
}

static bool FromWire(const millstair_UsageCount& wire, UsageCount& count) {
  count = {UsageWindow(wire.window), TenantName(ToString(wire.tenant)), wire.requests};
  return count.window != UsageWindow() && count.tenant != TenantName();
}

static millstair_ReportedUsage ToWire(WireArena& arena, const UsageLedger::Reporter& reporter,
                                      const UsageLedger::LastReport& last) {
  millstair_ReportedUsage wire = millstair_ReportedUsage_init_zero;
  wire.gateway = arena.NewString(reporter.gateway.value());
  wire.incarnation = reporter.incarnation.value();
  wire.sequence = last.sequence;
  wire.order = last.order;
  return wire;
}

millstair_UsageReport ToWire(WireArena& arena, const UsageReport& report) {
  millstair_UsageReport wire = millstair_UsageReport_init_zero;
  wire.gateway = arena.NewString(report.gateway.value());
  wire.incarnation = report.incarnation.value();
  wire.sequence = report.sequence;
  wire.counts = NewWireArray<millstair_UsageCount>(arena, report.counts, &wire.counts_count);
  return wire;
}

bool FromWire(const millstair_UsageReport& wire, UsageReport& report) {
  report.gateway = NodeId(ToString(wire.gateway));
  report.incarnation = Incarnation(wire.incarnation);
  report.sequence = wire.sequence;
  return report.gateway != NodeId() && report.sequence > 0 &&
         FromWireArray(wire.counts, wire.counts_count, report.counts);
}

millstair_AnnounceDuty ToWire(WireArena& arena, const LeaseAnnouncement& announcement) {
  millstair_AnnounceDuty wire = millstair_AnnounceDuty_init_zero;
  wire.holder = arena.NewString(announcement.holder.value());
  wire.subject = arena.NewString(announcement.subject);
  wire.term = announcement.term.value();
  wire.announced_at_microseconds = announcement.announced_at.count();
  return wire;
}

bool FromWire(const millstair_AnnounceDuty& wire, LeaseAnnouncement& announcement) {
  announcement.holder = NodeId(ToString(wire.holder));
  announcement.subject = ToString(wire.subject);
  announcement.term = Term(wire.term);
  announcement.announced_at = Duration(wire.announced_at_microseconds);
  return announcement.holder != NodeId() && !announcement.subject.empty();
}

millstair_UsageLedger ToWire(WireArena& arena, const UsageLedger::State& state) {
  millstair_UsageLedger wire = millstair_UsageLedger_init_zero;
  std::vector<UsageCount> counts;
  wire.windows = arena.NewArray<uint64_t>(state.windows.size());
  for (const auto& [window, tenants] : state.windows) {
    wire.windows[wire.windows_count++] = window.value();
    for (const auto& [tenant, requests] : tenants) counts.push_back({window, tenant, requests});
  }
  wire.counts = NewWireArray<millstair_UsageCount>(arena, counts, &wire.counts_count);
  wire.reported = arena.NewArray<millstair_ReportedUsage>(state.reported.size());
  for (const auto& [reporter, last] : state.reported) {
    wire.reported[wire.reported_count++] = ToWire(arena, reporter, last);
  }
  wire.closed_through = state.closed_through.value();
  wire.order = state.order;
  wire.late_requests = state.late_requests;
  return wire;
}

bool FromWire(const millstair_UsageLedger& wire, UsageLedger::State& state) {
  for (pb_size_t i = 0; i < wire.windows_count; ++i) state.windows[UsageWindow(wire.windows[i])];
  for (pb_size_t i = 0; i < wire.counts_count; ++i) {
    UsageCount count;
    if (!FromWire(wire.counts[i], count)) return false;
    state.windows[count.window][count.tenant] += count.requests;
  }
  for (pb_size_t i = 0; i < wire.reported_count; ++i) {
    const millstair_ReportedUsage& reported = wire.reported[i];
    state.reported[{NodeId(ToString(reported.gateway)), Incarnation(reported.incarnation)}] = {
        reported.sequence, reported.order};
  }
  state.closed_through = UsageWindow(wire.closed_through);
  state.order = wire.order;
  state.late_requests = wire.late_requests;
  return true;
}

}  // namespace millstair
