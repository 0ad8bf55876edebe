/// Which faults a run brings about, and when. A plan is drawn from a seed; each fault's time and
/// target come from a seed of its own, so that leaving one out does not change the others.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair::simulator {

enum class FaultKind : uint8_t {
  kControlCrash,        ///< a control process dies and starts again
  kControlCrashInSync,  ///< the same between a write and its sync; unsynced bytes are lost or torn
  kLostDisk,            ///< a control machine dies and comes back with an empty disk
  kSecondLoss,          ///< a disk is lost, and right after the repair a second one
  kControlIsolated,     ///< a control machine is cut off silently for long
  kGatewayCrash,
  kGatewayIsolated,  ///< a gateway is cut off from all control machines
  kCutOneWay,        ///< one direction between two nodes
  kCutBothWays,
  kZoneCut,
  kDelay,
  kReorder,
  kDuplicate,
  kLoss,
  kSlowDisk,
  kClockDrift,
  kEngineCrash,
  kSwapFailure,    ///< weight swaps fail on some shards
  kCacheEvents,    ///< cache events late and missing
  kEngineDrain,    ///< an engine says itself that it leaves
  kMachineLeaves,  ///< the platform takes a machine out; its list tells so late
  kOperatorDrain,
  kServerCrash,  ///< a plain back end dies
  kCutAnswers,   ///< plain back ends execute and cut the answer
  kStoreOutage,
  kScorerFailure,
  kOperatorRace,    ///< two operators change one resource from equal versions
  kLostAnswers,     ///< answers to operators and trainers are lost; they resend
  kLongRestart,     ///< a node is down while hundreds of changes go by
  kRollingRestart,  ///< planned restart of every node in turn
  kTrainerRestart,  ///< a trainer dies in a step and goes on from its cursor
  kPowerLoss,       ///< every control process dies at once, with writes that are not synced
  kClockStep,       ///< the time of day of two machines jumps; some start before and after it
  kSuspension,      ///< a machine is suspended and wakes
  kCount,
};

/// Name as used on the command line, for example "control-crash".
std::string_view FaultName(FaultKind kind);
absl::StatusOr<FaultKind> ParseFault(std::string_view name);

struct PlannedFault {
  FaultKind kind = FaultKind::kControlCrash;
  /// True time since the start of the run.
  Duration begin{0};
  /// Time until it is healed.
  Duration length{0};
  /// Seeds the choice of targets.
  uint64_t seed = 0;
  friend bool operator==(const PlannedFault&, const PlannedFault&) = default;
};

using FaultPlan = std::vector<PlannedFault>;

/// Faults begin after the start-up.
inline constexpr Duration kFaultsFrom = std::chrono::seconds(12);
/// When the last fault of a run of `length` is healed.
Duration FaultsHealedBy(Duration length);

/// The default mix for `seed`: several faults, two of them at once and one of them twice.
FaultPlan DrawDefaultFaults(uint64_t seed, Duration length);
/// One fault of each of `kinds`, in order; a kind may stand in the list several times.
FaultPlan DrawFaults(uint64_t seed, Duration length, const std::vector<FaultKind>& kinds);

/// Comma-separated faults, "default" for the default mix, or "none". A fault is a name, whose time
/// and target are drawn, or all of it as `FormatFault` writes it.
absl::StatusOr<FaultPlan> ParseFaultList(std::string_view list, uint64_t seed, Duration length);

/// "name@begin+length/seed", times in microseconds; `ParseFaultList` reads it back.
std::string FormatFault(const PlannedFault& fault);

}  // namespace millstair::simulator
