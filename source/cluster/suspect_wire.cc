#include "cluster/suspect_wire.h"

#include "cluster/resource_wire.h"

namespace millstair {
namespace {

millstair_SuspectRequest RecordToWire(WireArena& arena, const RequestFingerprint& request,
                                      const std::string& place,
                                      const std::vector<InstanceId>& crashed) {
  millstair_SuspectRequest wire = millstair_SuspectRequest_init_zero;
  wire.request = arena.NewString(request.value());
  wire.place = arena.NewString(place);
  std::vector<std::string> names;
  for (const InstanceId& instance : crashed) names.push_back(instance.value());
  wire.crashed = NewStrings(arena, names, &wire.crashed_count);
  return wire;
}

std::vector<InstanceId> CrashedFromWire(const millstair_SuspectRequest& wire) {
  std::vector<InstanceId> crashed;
  for (const std::string& name : StringsFromWire(wire.crashed, wire.crashed_count)) {
    crashed.emplace_back(name);
  }
  return crashed;
}

}  // namespace

millstair_SuspectRequest ToWire(WireArena& arena, const SuspectRequest& suspect) {
  millstair_SuspectRequest wire =
      RecordToWire(arena, suspect.request, suspect.place, suspect.crashed);
  wire.trials = suspect.trials;
  wire.crashes_before_trials = suspect.crashes_before_trials;
  wire.changed_at = suspect.changed_at.value();
  wire.changed_time_milliseconds = suspect.changed_time.time_since_epoch().count();
  return wire;
}

millstair_SuspectRequest ToWire(WireArena& arena, const CrashReport& report) {
  return RecordToWire(arena, report.request, report.place, report.crashed);
}

bool FromWire(const millstair_SuspectRequest& wire, SuspectRequest& suspect) {
  suspect.request = RequestFingerprint(ToString(wire.request));
  suspect.place = ToString(wire.place);
  suspect.crashed = CrashedFromWire(wire);
  suspect.trials = wire.trials;
  suspect.crashes_before_trials = wire.crashes_before_trials;
  suspect.changed_at = Revision(wire.changed_at);
  suspect.changed_time = WallTime(std::chrono::milliseconds(wire.changed_time_milliseconds));
  return suspect.request != RequestFingerprint();
}

bool FromWire(const millstair_SuspectRequest& wire, CrashReport& report) {
  report = {RequestFingerprint(ToString(wire.request)), ToString(wire.place),
            CrashedFromWire(wire)};
  return report.request != RequestFingerprint() && !report.crashed.empty();
}

}  // namespace millstair
