/// Faults of engines, plain servers and platform services.
#include <memory>
#include <utility>

#include "common/random.h"
#include "simulator/faults/fault_actions.h"

namespace millstair::simulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStopPause = milliseconds(500);

/// Records in the history that a back end is leaving; returns the index of the record.
size_t RecordLeaving(World& world, const EngineName& backend, checks::LeavingSource source) {
  world.history().leaving.push_back({backend, source, world.scheduler().Now(), std::nullopt});
  return world.history().leaving.size() - 1;
}

/// Ends all leaving states that `source` reported for `backend`.
void EndLeaving(World& world, const EngineName& backend, checks::LeavingSource source) {
  for (checks::BackendLeaving& leaving : world.history().leaving) {
    const bool same = leaving.source == source && leaving.backend == backend;
    if (same && !leaving.until) leaving.until = world.scheduler().Now();
  }
}

/// Restarts a drained engine after a short pause.
void RestartDrained(World& world, EngineMachine& engine) {
  engine.TakeDown();
  world.scheduler().Schedule(kStopPause, [&engine] {
    engine.BringUp();
    engine.Undrain();
  });
}

}  // namespace

void CrashEngine(FaultContext& fault) {
  EngineMachine& engine = fault.Pick(fault.world.engines());
  engine.TakeDown();
  fault.heal = [&engine] { engine.BringUp(); };
}

void FailSwaps(FaultContext& fault) {
  fault.Repeat(seconds(3),
               [&fault] { fault.Pick(fault.world.engines()).model().FailNextActivation(); });
}

void DrainEngine(FaultContext& fault) {
  World& world = fault.world;
  if (DrawChance(fault.random, 0.3)) {
    ServerMachine& server = fault.Pick(world.servers());
    server.Drain();
    fault.heal = [&server] { server.Undrain(); };
    return;
  }
  EngineMachine& engine = fault.Pick(world.engines());
  engine.Drain();
  fault.heal = [&world, &engine] {
    // An engine that is idle after draining undergoes a planned restart.
    if (engine.model().running() && engine.model().Idle()) {
      RestartDrained(world, engine);
    } else {
      engine.Undrain();
    }
  };
}

void MachineLeaves(FaultContext& fault) {
  World& world = fault.world;
  EngineMachine& engine = fault.Pick(world.engines());
  const std::string address = engine.plan().machine_address;
  world.platform().list().SetState(address, MachineState::kLeaving);
  auto shown = std::make_shared<std::optional<size_t>>();
  fault.Repeat(milliseconds(100), [&world, &engine, address, shown] {
    if (*shown) return;
    for (const MachineEntry& entry : world.platform().list().Listed()) {
      if (entry.address != address || entry.state == MachineState::kLive) continue;
      *shown = RecordLeaving(world, engine.plan().name, checks::LeavingSource::kPlatformList);
    }
  });
  fault.heal = [&world, &engine, address] {
    // Also ends records of other faults of this kind for the same machine.
    EndLeaving(world, engine.plan().name, checks::LeavingSource::kPlatformList);
    world.platform().list().SetState(address, MachineState::kLive);
    // A new machine replaces the removed one.
    engine.TakeDown();
    engine.BringUp();
  };
}

void OperatorDrain(FaultContext& fault) {
  World& world = fault.world;
  const bool plain = DrawChance(fault.random, 0.3);
  const EngineName name =
      plain ? fault.Pick(world.servers()).plan().name : fault.Pick(world.engines()).plan().name;
  Resource drained = world.InitialResource({ResourceKind::kEngine, name.value()});
  const Resource restored = drained;
  std::get<EngineSpec>(drained.spec).drain = true;
  OperatorClient& client = *world.operators()[0];
  client.Put(drained, [&fault, &world, &client, name, restored](Revision) {
    RecordLeaving(world, name, checks::LeavingSource::kOperator);
    const auto restore = [&world, &client, name, restored] {
      // The resource has a single drain flag, so this also ends other faults of this kind.
      EndLeaving(world, name, checks::LeavingSource::kOperator);
      client.Put(restored, [](Revision) {});
    };
    if (fault.healed) {
      restore();
    } else {
      fault.heal = restore;
    }
  });
}

void CrashServer(FaultContext& fault) {
  ServerMachine& server = fault.Pick(fault.world.servers());
  server.TakeDown();
  fault.heal = [&server] { server.BringUp(); };
}

void CutAnswers(FaultContext& fault) {
  World& world = fault.world;
  for (auto& server : world.servers()) server->SetCutAnswers(0.1);
  fault.heal = [&world] {
    for (auto& server : world.servers()) server->SetCutAnswers(0);
  };
}

void StoreOutage(FaultContext& fault) {
  World& world = fault.world;
  world.platform().store().SetAvailable(false);
  fault.heal = [&world] { world.platform().store().SetAvailable(true); };
}

void ScorerFailure(FaultContext& fault) {
  World& world = fault.world;
  world.platform().SetScorerDown(true);
  fault.heal = [&world] { world.platform().SetScorerDown(false); };
}

void DisturbCacheEvents(FaultContext& fault) { (void)fault; }

}  // namespace millstair::simulator
