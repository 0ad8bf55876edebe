#include "simulator/fleet/control_machine.h"

#include <array>
#include <utility>

#include "rollout/stream_factory.h"
#include "weights/weight_target_task.h"

namespace millstair::simulator {
namespace {

/// Time between the end of draining and the exit of the process.
constexpr Duration kExitTime = std::chrono::milliseconds(20);
/// Time until a process that could not start is started again.
constexpr Duration kRestartInterval = std::chrono::milliseconds(500);
/// Selected by the seed unless the options set a value.
constexpr std::array<uint64_t, 3> kSnapshotAfter{2000, 300, 40};

}  // namespace

ControlMachine::ControlMachine(RunContext& context, const DeploymentPlan& plan, size_t index,
                               const FleetOptions& options)
    : context_(context),
      deployment_(plan),
      plan_(plan.controls[index]),
      faults_(options.product_faults ? options.product_faults
                                     : std::make_shared<const ProductFaults>()),
      tail_handling_(options.tail_handling),
      snapshot_after_entries_(options.snapshot_after_entries.value_or(
          kSnapshotAfter[options.seed % kSnapshotAfter.size()])),
      host_(context.network.AddHost(plan_.node.value(), plan_.zone)),
      boot_environment_(context.scheduler, context.DrawSeed()),
      disk_(boot_environment_, context.DrawSeed()) {
  context_.http.AddAddress(plan_.http_address, host_);
  context_.peers.AddNode(plan_.node, plan_.peer_address, host_);
  if (plan_.initial_member) {
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
      context_.http.StopAccepting(plan_.http_address);
    }
    context_.scheduler.Schedule(kExitTime, [this, stopping, pause, done = std::move(done)] {
      // A fault may have killed the process before it was drained.
      if (node_ != nullptr && incarnation_ == stopping) {
        TakeDown();
        context_.scheduler.Schedule(pause, [this] { BringUp(); });
      }
      context_.scheduler.Schedule(pause, done);
    });
  });
}

void ControlMachine::SetClockRate(double rate) {
  clock_rate_ = rate;
  if (environment_) environment_->SetRate(rate);
}

void ControlMachine::SetWallClockOffset(Duration offset) {
  if (environment_) environment_->JumpWallClock(offset - wall_clock_offset_);
  wall_clock_offset_ = offset;
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
    if (!control.initial_member) continue;
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
  incarnation_ = context_.NewIncarnation(wall_clock_offset_);
  environment_ = std::make_unique<VirtualEnvironment>(
      context_.scheduler, context_.DrawSeed(),
      VirtualClockOptions{.rate = clock_rate_, .wall_error = wall_clock_offset_});
  if (suspended_) environment_->Suspend();
  disk_.Attach(*environment_);
  transport_ = context_.peers.MakeTransport(plan_.node);
  platform_ = std::make_unique<FabricHttpCaller>(context_.http, host_);
  StreamLeaderOptions stream;
  stream.tail_handling = tail_handling_;
  node_ = MakeControlNode(*environment_, *transport_, disk_, *platform_,
                          MakeStreamFactory(*environment_, *transport_, stream, faults_->stream),
                          Options());
  node_->AddLeaderTask(
      MakeWeightTargetTask(*environment_, [node = node_.get()](ClusterCommand command) {
        node->Propose(std::move(command), [](const absl::StatusOr<ClusterResult>&) {});
      }));
  context_.peers.SetReceiver(plan_.node, node_.get());
  context_.http.Listen(plan_.http_address, *node_);
  if (node_->Start().ok()) return;
  // As a service manager does while the disk refuses writes.
  context_.scheduler.Schedule(kRestartInterval, [this, failed = incarnation_] {
    if (node_ == nullptr || incarnation_ != failed) return;
    KillProcess();
    StartProcess();
  });
}

void ControlMachine::KillProcess() {
  if (node_ == nullptr) return;
  environment_->Kill();
  context_.peers.SetReceiver(plan_.node, nullptr);
  context_.http.StopListening(plan_.http_address);
  context_.http.ResetConnections(host_);
  node_.reset();
  transport_.reset();
  platform_.reset();
  disk_.Crash();
  disk_.Attach(boot_environment_);
  environment_.reset();
}

}  // namespace millstair::simulator
