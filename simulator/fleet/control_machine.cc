#include "simulator/fleet/control_machine.h"

#include <array>
#include <utility>

#include "rollout/stream_factory.h"
#include "weights/weight_target_task.h"

namespace millstair::simulator {
namespace {

/// A process ends a moment after it has finished its work.
constexpr Duration kExitTime = std::chrono::milliseconds(20);
/// By seed, unless the options say otherwise.
constexpr std::array<uint64_t, 3> kSnapshotAfter{2000, 300, 40};

}  // namespace

ControlMachine::ControlMachine(Surroundings& surroundings, const DeploymentPlan& plan, size_t index,
                               const FleetOptions& options)
    : surroundings_(surroundings),
      deployment_(plan),
      plan_(plan.controls[index]),
      faults_(options.product_faults ? options.product_faults
                                     : std::make_shared<const ProductFaults>()),
      tail_handling_(options.tail_handling),
      snapshot_after_entries_(options.snapshot_after_entries.value_or(
          kSnapshotAfter[options.seed % kSnapshotAfter.size()])),
      host_(surroundings.network.AddHost(plan_.node.value(), plan_.zone)),
      boot_environment_(surroundings.scheduler, surroundings.DrawSeed()),
      disk_(boot_environment_, surroundings.DrawSeed()) {
  surroundings_.http.AddAddress(plan_.http_address, host_);
  surroundings_.peers.AddNode(plan_.node, plan_.peer_address, host_);
  if (plan_.founder) {
    (void)InitializeInitialMember(disk_, plan.cluster_id, plan_.node, plan_.peer_address);
  }
}

ControlMachine::~ControlMachine() { KillProcess(); }

void ControlMachine::TakeDown() {
  if (down_reasons_++ == 0) KillProcess();
}

void ControlMachine::BringUp() {
  if (--down_reasons_ == 0) StartProcess();
}

void ControlMachine::LoseDisk() { disk_.LoseDisk(); }

void ControlMachine::RestartPlanned(Duration pause, std::function<void()> done) {
  if (node_ == nullptr) {
    done();
    return;
  }
  const Incarnation stopping = incarnation_;
  node_->Drain([this, stopping, pause, done = std::move(done)]() mutable {
    if (node_ != nullptr && incarnation_ == stopping) {
      surroundings_.http.StopAccepting(plan_.http_address);
    }
    surroundings_.scheduler.Schedule(kExitTime, [this, stopping, pause, done = std::move(done)] {
      // A fault may have ended the process before it was drained.
      if (node_ != nullptr && incarnation_ == stopping) {
        TakeDown();
        surroundings_.scheduler.Schedule(pause, [this] { BringUp(); });
      }
      surroundings_.scheduler.Schedule(pause, done);
    });
  });
}

void ControlMachine::SetClockRate(double rate) {
  clock_rate_ = rate;
  if (environment_) environment_->SetRate(rate);
}

void ControlMachine::SetTimeOfDay(Duration ahead) {
  if (environment_) environment_->JumpWallClock(ahead - time_of_day_ahead_);
  time_of_day_ahead_ = ahead;
}

void ControlMachine::Suspend() {
  suspended_ = true;
  if (environment_) environment_->Suspend();
}

void ControlMachine::Wake() {
  suspended_ = false;
  if (environment_) environment_->Wake();
}

ControlNodeOptions ControlMachine::Options() const {
  ControlNodeOptions options;
  options.self = {.node = plan_.node,
                  .incarnation = incarnation_,
                  .zone = plan_.zone,
                  .address = plan_.peer_address,
                  .control = true};
  options.cluster_id = deployment_.cluster_id;
  for (const NodePlan& control : deployment_.controls) {
    options.control_nodes.push_back({control.node, control.peer_address, control.zone});
    if (!control.founder) continue;
    options.initial_members.push_back({InitialMemberReplicaId(deployment_.cluster_id, control.node),
                                       control.node, control.peer_address, true});
  }
  options.platform_list = deployment_.machine_list;
  options.faults = faults_->cluster;
  options.consensus_faults = faults_->consensus;
  options.consensus_limits.snapshot_after_entries = snapshot_after_entries_;
  return options;
}

void ControlMachine::StartProcess() {
  incarnation_ = surroundings_.NewIncarnation(time_of_day_ahead_);
  environment_ = std::make_unique<VirtualEnvironment>(
      surroundings_.scheduler, surroundings_.DrawSeed(),
      VirtualClockOptions{.rate = clock_rate_, .wall_error = time_of_day_ahead_});
  if (suspended_) environment_->Suspend();
  disk_.Attach(*environment_);
  transport_ = surroundings_.peers.MakeTransport(plan_.node);
  platform_ = std::make_unique<FabricHttpCaller>(surroundings_.http, host_);
  StreamLeaderOptions stream;
  stream.tail_handling = tail_handling_;
  node_ = MakeControlNode(*environment_, *transport_, disk_, *platform_,
                          MakeStreamFactory(*environment_, *transport_, stream, faults_->stream),
                          Options());
  node_->AddLeaderTask(
      MakeWeightTargetTask(*environment_, [node = node_.get()](ClusterCommand command) {
        node->Propose(std::move(command), [](const absl::StatusOr<ClusterResult>&) {});
      }));
  surroundings_.peers.SetReceiver(plan_.node, node_.get());
  surroundings_.http.Listen(plan_.http_address, *node_);
  (void)node_->Start();
}

void ControlMachine::KillProcess() {
  if (node_ == nullptr) return;
  environment_->Kill();
  surroundings_.peers.SetReceiver(plan_.node, nullptr);
  surroundings_.http.StopListening(plan_.http_address);
  surroundings_.http.ResetConnections(host_);
  node_.reset();
  transport_.reset();
  platform_.reset();
  disk_.Crash();
  disk_.Attach(boot_environment_);
  environment_.reset();
}

}  // namespace millstair::simulator
