#include "simulator/faults/fault_driver.h"

#include <array>
#include <utility>

namespace millstair::simulator {
namespace {

/// How a fault is recorded in the history.
enum class HistoryRecord : uint8_t {
  kUnplanned,  ///< an unplanned fault
  kPlanned,    ///< a planned stop of a back end
  kByAction,   ///< the action records its own windows
};

struct ActionEntry {
  FaultKind kind;
  FaultAction action;
  HistoryRecord record = HistoryRecord::kUnplanned;
  /// The action calls `on_applied` itself.
  bool reports_applied = false;
};

constexpr std::array<ActionEntry, static_cast<size_t>(FaultKind::kCount)> kActions{{
    {FaultKind::kControlCrash, CrashControl},
    {FaultKind::kControlCrashInSync, CrashControlInSync},
    {FaultKind::kLostDisk, LoseDisk, HistoryRecord::kUnplanned, true},
    {FaultKind::kSecondLoss, LoseTwoDisks, HistoryRecord::kUnplanned, true},
    {FaultKind::kControlIsolated, IsolateControl},
    {FaultKind::kGatewayCrash, CrashGateway},
    {FaultKind::kGatewayIsolated, IsolateGateway},
    {FaultKind::kCutOneWay, CutOneWay},
    {FaultKind::kCutBothWays, CutBothWays},
    {FaultKind::kZoneCut, CutZone},
    {FaultKind::kDelay, DelayMessages},
    {FaultKind::kReorder, ReorderMessages},
    {FaultKind::kDuplicate, DuplicateMessages},
    {FaultKind::kLoss, LoseMessages},
    {FaultKind::kSlowDisk, SlowDisk},
    {FaultKind::kClockDrift, DriftClocks},
    {FaultKind::kEngineCrash, CrashEngine},
    {FaultKind::kSwapFailure, FailSwaps},
    {FaultKind::kCacheEvents, DisturbCacheEvents},
    {FaultKind::kEngineDrain, DrainEngine, HistoryRecord::kPlanned},
    {FaultKind::kMachineLeaves, MachineLeaves},
    {FaultKind::kOperatorDrain, OperatorDrain, HistoryRecord::kPlanned},
    {FaultKind::kServerCrash, CrashServer},
    {FaultKind::kCutAnswers, CutAnswers},
    {FaultKind::kStoreOutage, StoreOutage},
    {FaultKind::kScorerFailure, ScorerFailure},
    {FaultKind::kOperatorRace, RaceOperators},
    {FaultKind::kLostAnswers, LoseAnswers},
    {FaultKind::kLongRestart, RestartLong},
    {FaultKind::kRollingRestart, RestartAll, HistoryRecord::kByAction},
    {FaultKind::kTrainerRestart, RestartTrainer},
    {FaultKind::kPowerLoss, LosePower},
    {FaultKind::kClockStep, StepClocks},
    {FaultKind::kSuspension, SuspendMachine},
    {FaultKind::kRefusedWrites, RefuseWrites},
}};

}  // namespace

void FaultContext::Repeat(Duration interval, std::function<void()> action) {
  if (healed || world.scheduler().Now() >= until) return;
  action();
  world.scheduler().Schedule(interval, [this, interval, action] { Repeat(interval, action); });
}

void FaultDriver::Start() {
  for (const PlannedFault& fault : world_.options().faults) {
    world_.scheduler().Schedule(fault.begin, [this, fault] { Begin(fault); });
  }
}

void FaultDriver::Begin(const PlannedFault& fault) {
  const ActionEntry& entry = kActions[static_cast<size_t>(fault.kind)];
  const std::string name(FaultName(fault.kind));
  const auto count = [this, name] { ++tried_[name]; };
  checks::History& history = world_.history();
  const size_t window = history.faults.size();
  if (entry.record != HistoryRecord::kByAction) {
    history.faults.push_back({.kind = name,
                              .planned = entry.record == HistoryRecord::kPlanned,
                              .begin = world_.scheduler().Now()});
  }
  FaultContext& context = contexts_.emplace_back(
      FaultContext{world_, RandomEngine(fault.seed), fault.begin + fault.length});
  context.on_applied = count;
  if (!entry.reports_applied) count();
  world_.scheduler().Schedule(fault.length, [this, &context, &entry, window] {
    context.healed = true;
    if (context.heal) std::exchange(context.heal, nullptr)();
    if (entry.record == HistoryRecord::kByAction) return;
    world_.history().faults[window].end = world_.scheduler().Now();
  });
  entry.action(context);
}

}  // namespace millstair::simulator
