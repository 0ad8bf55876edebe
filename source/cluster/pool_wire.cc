#include "cluster/pool_wire.h"

#include <cmath>

#include "cluster/resource_wire.h"

namespace millstair {

static millstair_PoolNeed ToWire(WireArena& arena, const PoolNeed& need) {
  millstair_PoolNeed wire = millstair_PoolNeed_init_zero;
  wire.service = arena.NewString(need.service.value());
  wire.missing_slots = need.missing_slots;
  wire.busy_slots = need.busy_slots;
  wire.has_lateness = need.lateness_seconds.has_value();
  wire.lateness_seconds = need.lateness_seconds.value_or(0);
  wire.useful_within_seconds = need.useful_within_seconds;
  wire.answering_slots = need.answering_slots;
  return wire;
}

static bool FromWire(const millstair_PoolNeed& wire, PoolNeed& need) {
  need.service = ServiceName(ToString(wire.service));
  need.missing_slots = wire.missing_slots;
  need.busy_slots = wire.busy_slots;
  if (wire.has_lateness) need.lateness_seconds = wire.lateness_seconds;
  need.useful_within_seconds = wire.useful_within_seconds;
  need.answering_slots = wire.answering_slots;
  return need.service != ServiceName() && std::isfinite(need.missing_slots) &&
         std::isfinite(wire.lateness_seconds) && std::isfinite(need.useful_within_seconds);
}

millstair_PoolSize ToWire(WireArena& arena, const PoolSize& size) {
  millstair_PoolSize wire = millstair_PoolSize_init_zero;
  wire.service = arena.NewString(size.service.value());
  wire.zone = arena.NewString(size.zone.value());
  wire.initial = size.initial;
  wire.wanted = size.wanted;
  wire.accepted = size.accepted;
  wire.ordered = size.ordered;
  return wire;
}

bool FromWire(const millstair_PoolSize& wire, PoolSize& size) {
  size.service = ServiceName(ToString(wire.service));
  size.zone = Zone(ToString(wire.zone));
  size.initial = wire.initial;
  size.wanted = wire.wanted;
  size.accepted = wire.accepted;
  size.ordered = wire.ordered;
  return size.service != ServiceName() && size.zone != Zone() && size.wanted >= size.initial;
}

millstair_PoolReport ToWire(WireArena& arena, const PoolReport& report) {
  millstair_PoolReport wire = millstair_PoolReport_init_zero;
  wire.term = report.term.value();
  wire.sequence = report.sequence;
  wire.needs = NewWireArray<millstair_PoolNeed>(arena, report.needs, &wire.needs_count);
  return wire;
}

bool FromWire(const millstair_PoolReport& wire, PoolReport& report) {
  report.term = Term(wire.term);
  report.sequence = wire.sequence;
  return FromWireArray(wire.needs, wire.needs_count, report.needs);
}

}  // namespace millstair
