/// Faults of control machines and gateways: crashes, disks, clocks, planned restarts.
#include <algorithm>
#include <memory>
#include <utility>

#include "common/random.h"
#include "fmt/format.h"
#include "simulator/faults/fault_actions.h"

namespace millstair::simulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSyncMin = std::chrono::microseconds(200);
constexpr Duration kSyncMax = std::chrono::microseconds(800);
constexpr Duration kSyncFailureInterval = milliseconds(50);
constexpr Duration kReplicationPollInterval = milliseconds(500);
/// A planned restart keeps the process down for this long.
constexpr Duration kRestartPause = milliseconds(800);
/// Time between the restarts of two nodes.
constexpr Duration kBetweenRestarts = milliseconds(1500);
/// Range of wall-clock steps; covers those that occur in deployments.
constexpr Duration kMinClockStep = seconds(1);
constexpr Duration kMaxClockStep = seconds(8);
constexpr int kChangesWhileDown = 500;
constexpr int kWriters = 4;

/// Takes a machine down until the fault is healed.
template <class Machine>
void DownUntilHealed(FaultContext& fault, Machine& machine) {
  machine.TakeDown();
  fault.heal = [&machine] { machine.BringUp(); };
}

/// Picks a voter of the cluster group in the view of its leader; without a leader, any machine.
ControlMachine& PickVoter(FaultContext& fault) {
  World& world = fault.world;
  std::vector<ControlMachine*> voters;
  if (ControlMachine* leader = world.ClusterLeader()) {
    RaftGroup* group = leader->node()->groups().Find(GroupId("cluster"));
    for (const GroupMember& member : group->Members()) {
      for (auto& control : world.controls()) {
        if (member.voter && control->plan().node == member.node) voters.push_back(control.get());
      }
    }
  }
  if (voters.empty()) return fault.Pick(world.controls());
  return *voters[DrawBelow(fault.random, voters.size())];
}

void LoseDiskOf(ControlMachine& machine) {
  machine.TakeDown();
  machine.LoseDisk();
}

/// Waits until every group is fully replicated, so that the system must tolerate the loss.
/// `lose` runs at most once, before the fault is healed.
void WhenReplicated(FaultContext& fault, std::function<void()> lose) {
  if (fault.healed) return;
  const bool all_running = std::all_of(fault.world.controls().begin(), fault.world.controls().end(),
                                       [](const auto& control) { return control->running(); });
  if (all_running && fault.world.FullyReplicated()) {
    lose();
    return;
  }
  fault.world.scheduler().Schedule(
      kReplicationPollInterval, [&fault, lose = std::move(lose)] { WhenReplicated(fault, lose); });
}

}  // namespace

void CrashControl(FaultContext& fault) {
  DownUntilHealed(fault, fault.Pick(fault.world.controls()));
}

namespace {

/// Crashes `machines` at once, with slow syncs, so that some are likely to be in progress.
void CrashInSync(FaultContext& fault, const std::vector<ControlMachine*>& machines) {
  for (ControlMachine* machine : machines) {
    machine->disk().SetSyncTime(milliseconds(30), milliseconds(90));
  }
  const Duration wait = DrawDuration(fault.random, milliseconds(50), milliseconds(600));
  auto down = std::make_shared<bool>(false);
  fault.world.scheduler().Schedule(wait, [&fault, machines, down] {
    if (fault.healed) return;
    for (ControlMachine* machine : machines) machine->TakeDown();
    *down = true;
  });
  fault.heal = [machines, down] {
    for (ControlMachine* machine : machines) {
      machine->disk().SetSyncTime(kSyncMin, kSyncMax);
      if (*down) machine->BringUp();
    }
  };
}

}  // namespace

void CrashControlInSync(FaultContext& fault) { CrashInSync(fault, {&PickVoter(fault)}); }

void LosePower(FaultContext& fault) {
  std::vector<ControlMachine*> machines;
  for (auto& control : fault.world.controls()) machines.push_back(control.get());
  CrashInSync(fault, machines);
}

void LoseDisk(FaultContext& fault) {
  WhenReplicated(fault, [&fault] {
    ControlMachine& machine = PickVoter(fault);
    LoseDiskOf(machine);
    fault.on_applied();
    fault.heal = [&machine] { machine.BringUp(); };
  });
}

void LoseTwoDisks(FaultContext& fault) {
  WhenReplicated(fault, [&fault] {
    ControlMachine& first = PickVoter(fault);
    LoseDiskOf(first);
    fault.world.scheduler().Schedule(seconds(2), [&fault, &first] {
      first.BringUp();
      // The second loss follows as soon as the groups are fully replicated again.
      WhenReplicated(fault, [&fault] {
        ControlMachine& second = PickVoter(fault);
        LoseDiskOf(second);
        fault.on_applied();
        fault.heal = [&second] { second.BringUp(); };
      });
    });
  });
}

void SlowDisk(FaultContext& fault) {
  ControlMachine& machine = fault.Pick(fault.world.controls());
  const Duration slow = DrawDuration(fault.random, milliseconds(5), milliseconds(120));
  machine.disk().SetSyncTime(slow / 2, slow);
  fault.heal = [&machine] { machine.disk().SetSyncTime(kSyncMin, kSyncMax); };
}

void RefuseWrites(FaultContext& fault) {
  MemoryFileSystem& disk = PickVoter(fault).disk();
  if (DrawChance(fault.random, 0.5)) {
    disk.SetFull(true);
  } else {
    fault.Repeat(kSyncFailureInterval, [&disk] { disk.FailNextSyncs(1); });
  }
  fault.heal = [&disk] {
    disk.SetFull(false);
    disk.FailNextSyncs(0);
  };
}

void CrashGateway(FaultContext& fault) {
  DownUntilHealed(fault, fault.Pick(fault.world.gateways()));
}

void DriftClocks(FaultContext& fault) {
  constexpr double kMaxDrift = 0.02;
  World& world = fault.world;
  const auto draw = [&fault] { return 1.0 + kMaxDrift * (2 * DrawUnit(fault.random) - 1); };
  for (auto& control : world.controls()) control->SetClockRate(draw());
  for (auto& gateway : world.gateways()) gateway->SetClockRate(draw());
  fault.heal = [&world] {
    for (auto& control : world.controls()) control->SetClockRate(1.0);
    for (auto& gateway : world.gateways()) gateway->SetClockRate(1.0);
  };
}

namespace {

/// Restarts `machine` with wall-clock offset `first` and, shortly after, again with `second`. By
/// its own clock, the later incarnation may have the earlier start time.
template <class Machine>
void RestartAcrossStep(FaultContext& fault, Machine& machine, Duration first, Duration second) {
  const Duration uptime = DrawDuration(fault.random, milliseconds(100), seconds(2));
  machine.SetWallClockOffset(first);
  machine.TakeDown();
  machine.BringUp();
  fault.world.scheduler().Schedule(uptime, [&fault, &machine, second] {
    if (fault.healed) return;
    machine.SetWallClockOffset(second);
    machine.TakeDown();
    machine.BringUp();
  });
}

template <class Machine>
void StepClockOf(FaultContext& fault, Machine& machine) {
  const Duration step = DrawDuration(fault.random, kMinClockStep, kMaxClockStep);
  if (DrawChance(fault.random, 0.5)) {
    machine.SetWallClockOffset(DrawChance(fault.random, 0.5) ? step : -step);
  } else if (DrawChance(fault.random, 0.5)) {
    RestartAcrossStep(fault, machine, step, Duration(0));
  } else {
    RestartAcrossStep(fault, machine, Duration(0), -step);
  }
}

}  // namespace

void StepClocks(FaultContext& fault) {
  World& world = fault.world;
  ControlMachine& control = fault.Pick(world.controls());
  GatewayMachine& gateway = fault.Pick(world.gateways());
  StepClockOf(fault, control);
  StepClockOf(fault, gateway);
  fault.heal = [&control, &gateway] {
    control.SetWallClockOffset(Duration(0));
    gateway.SetWallClockOffset(Duration(0));
  };
}

namespace {

template <class Machine>
void SuspendUntilHealed(FaultContext& fault, Machine& machine) {
  Network& network = fault.world.network();
  std::vector<Link> links;
  for (uint32_t other = 0; other < network.host_count(); ++other) {
    if (HostId(other) == machine.host()) continue;
    links.push_back({machine.host(), HostId(other)});
    links.push_back({HostId(other), machine.host()});
  }
  machine.Suspend();
  network.Cut(links);
  fault.heal = [&network, &machine, links = std::move(links)] {
    // Timers that expired during the suspension run before new messages arrive.
    machine.Wake();
    network.Uncut(links);
  };
}

}  // namespace

void SuspendMachine(FaultContext& fault) {
  if (DrawChance(fault.random, 0.5)) {
    SuspendUntilHealed(fault, fault.Pick(fault.world.controls()));
  } else {
    SuspendUntilHealed(fault, fault.Pick(fault.world.gateways()));
  }
}

void RestartLong(FaultContext& fault) {
  World& world = fault.world;
  if (DrawChance(fault.random, 0.5)) {
    DownUntilHealed(fault, fault.Pick(world.controls()));
  } else {
    DownUntilHealed(fault, fault.Pick(world.gateways()));
  }
  struct Writer {
    World& world;
    FaultContext& fault;
    int left = kChangesWhileDown / kWriters;
    int number = 0;

    void Next(const std::shared_ptr<Writer>& self) {
      if (left-- <= 0 || fault.healed) return;
      TrafficGroupSpec spec;
      spec.path_prefix = "/bulk";
      spec.hosts = {"bulk.example"};
      spec.max_queued = static_cast<uint32_t>(left + 1);
      world.operators()[0]->Put({fmt::format("bulk-{}", number), {}, spec, {}},
                                [self](Revision) { self->Next(self); });
    }
  };
  for (int number = 0; number < kWriters; ++number) {
    auto writer = std::make_shared<Writer>(Writer{world, fault});
    writer->number = number;
    writer->Next(writer);
  }
}

namespace {

/// Restarts nodes one at a time.
struct RollingRestart {
  FaultContext& fault;
  std::vector<std::function<void(std::function<void()>)>> restarts;
  std::vector<NodeId> nodes;
  size_t next = 0;

  static void Next(const std::shared_ptr<RollingRestart>& self) {
    if (self->next >= self->restarts.size() || self->fault.healed) return;
    const size_t current = self->next++;
    World& world = self->fault.world;
    const size_t window = world.history().faults.size();
    world.history().faults.push_back({.kind = "planned-restart",
                                      .planned = true,
                                      .node = self->nodes[current],
                                      .begin = world.scheduler().Now()});
    self->restarts[current]([self, window, &world] {
      world.history().faults[window].end = world.scheduler().Now();
      world.scheduler().Schedule(kBetweenRestarts, [self] { Next(self); });
    });
  }
};

}  // namespace

void RestartAll(FaultContext& fault) {
  auto rolling = std::make_shared<RollingRestart>(RollingRestart{fault, {}, {}});
  for (auto& control : fault.world.controls()) {
    rolling->nodes.push_back(control->plan().node);
    rolling->restarts.push_back([&control](std::function<void()> done) {
      control->RestartPlanned(kRestartPause, std::move(done));
    });
  }
  for (auto& gateway : fault.world.gateways()) {
    rolling->nodes.push_back(gateway->plan().node);
    rolling->restarts.push_back([&gateway](std::function<void()> done) {
      gateway->RestartPlanned(kRestartPause, std::move(done));
    });
  }
  RollingRestart::Next(rolling);
}

}  // namespace millstair::simulator
