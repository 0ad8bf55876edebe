/// Plan of the faults of a run, drawn from a seed. The time and target of each fault come from a
/// separate seed, so that removing one fault does not change the others.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair::simulator {

enum class FaultKind : uint8_t {
  kControlCrash,        ///< a control process crashes and restarts
  kControlCrashInSync,  ///< the same between a write and its sync; unsynced bytes are lost or torn
  kLostDisk,            ///< a control machine crashes and restarts with an empty disk
  kSecondLoss,          ///< a disk is lost, and right after the repair a second one
  kControlIsolated,     ///< a control machine is isolated for long
  kGatewayCrash,
  kGatewayIsolated,  ///< a gateway is isolated from all control machines
  kCutOneWay,        ///< one direction between two nodes, or all that a node sends
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
  kCacheEvents,    ///< cache events are delayed and lost
  kEngineDrain,    ///< an engine or plain back end reports that it is leaving
  kMachineLeaves,  ///< the platform removes a machine; its machine list shows this with a delay
  kOperatorDrain,
  kServerCrash,  ///< a plain back end crashes and restarts
  kCutAnswers,   ///< plain back ends execute requests but cut the response
  kStoreOutage,
  kScorerFailure,
  kOperatorRace,    ///< two operators change one resource from equal versions
  kLostAnswers,     ///< responses to operators and trainers are lost; they resend
  kLongRestart,     ///< a node is down during hundreds of changes
  kRollingRestart,  ///< planned restart of every node in turn
  kTrainerRestart,  ///< a trainer crashes in a step and resumes at its cursor
  kPowerLoss,       ///< all control processes crash at once, with unsynced writes
  kClockStep,       ///< the wall clocks of two machines jump, in part across restarts
  kSuspension,      ///< a machine is suspended and resumed
  kRefusedWrites,   ///< the disk of a control machine is full, or its syncs fail
  kCount,
};

/// Name on the command line, for example "control-crash".
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

/// Start of the first fault, after the start-up.
inline constexpr Duration kFaultsFrom = std::chrono::seconds(12);
/// Time by which all faults of a run of `length` are healed.
Duration FaultsHealedBy(Duration length);

/// The default mix for `seed`: several faults, two of them at once and one of them twice.
FaultPlan DrawDefaultFaults(uint64_t seed, Duration length);
/// One fault for each entry of `kinds`, in order; kinds may be repeated.
FaultPlan DrawFaults(uint64_t seed, Duration length, const std::vector<FaultKind>& kinds);

/// Parses comma-separated faults, "default" for the default mix, or "none". A fault is either a
/// name, with time and target drawn from the seed, or complete in the format of `FormatFault`.
absl::StatusOr<FaultPlan> ParseFaultList(std::string_view list, uint64_t seed, Duration length);

/// "name@begin+length/seed", times in microseconds; accepted by `ParseFaultList`.
std::string FormatFault(const PlannedFault& fault);

}  // namespace millstair::simulator
