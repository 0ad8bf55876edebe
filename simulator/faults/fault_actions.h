/// Actions that apply each kind of fault to a fleet. An action applies its fault and sets
/// `FaultContext::heal` to undo it.
#pragma once

#include <functional>
#include <string>

#include "simulator/faults/fault_plan.h"
#include "simulator/fleet/world.h"

namespace millstair::simulator {

/// State of one active fault. Lives until the end of the run.
struct FaultContext {
  World& world;
  RandomEngine random;
  /// True time at which it is healed.
  Duration until{0};
  bool healed = false;
  /// Undoes the fault; runs once, at `until`.
  std::function<void()> heal;
  /// Counts the fault as applied; called by actions that wait for a precondition.
  std::function<void()> on_applied;

  template <class Container>
  auto& Pick(Container& container) {
    return *container[DrawBelow(random, container.size())];
  }
  /// Runs `action` now and every `interval` until the fault is healed.
  void Repeat(Duration interval, std::function<void()> action);
};

using FaultAction = void (*)(FaultContext&);

// Control machines and gateways.
void CrashControl(FaultContext& fault);
void CrashControlInSync(FaultContext& fault);
void LosePower(FaultContext& fault);
void LoseDisk(FaultContext& fault);
void LoseTwoDisks(FaultContext& fault);
void SlowDisk(FaultContext& fault);
void RefuseWrites(FaultContext& fault);
void CrashGateway(FaultContext& fault);
void DriftClocks(FaultContext& fault);
void StepClocks(FaultContext& fault);
void SuspendMachine(FaultContext& fault);
void RestartLong(FaultContext& fault);
void RestartAll(FaultContext& fault);

// The network.
void IsolateControl(FaultContext& fault);
void IsolateGateway(FaultContext& fault);
void CutOneWay(FaultContext& fault);
void CutBothWays(FaultContext& fault);
void CutZone(FaultContext& fault);
void DelayMessages(FaultContext& fault);
void ReorderMessages(FaultContext& fault);
void DuplicateMessages(FaultContext& fault);
void LoseMessages(FaultContext& fault);

// Back ends and the platform.
void CrashEngine(FaultContext& fault);
void FailSwaps(FaultContext& fault);
void DrainEngine(FaultContext& fault);
void MachineLeaves(FaultContext& fault);
void OperatorDrain(FaultContext& fault);
void CrashServer(FaultContext& fault);
void CutAnswers(FaultContext& fault);
void StoreOutage(FaultContext& fault);
void ScorerFailure(FaultContext& fault);
/// No action: in effect from the start of the engines; see EngineDisturbance.
void DisturbCacheEvents(FaultContext& fault);

// Clients.
void RaceOperators(FaultContext& fault);
void LoseAnswers(FaultContext& fault);
void RestartTrainer(FaultContext& fault);

}  // namespace millstair::simulator
