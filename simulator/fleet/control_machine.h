/// A control machine of the fleet: its process, and its disk, which outlives the process.
#pragma once

#include <functional>
#include <memory>

#include "cluster/control_node.h"
#include "common/virtual_environment.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/product_faults.h"
#include "simulator/fleet/run_context.h"
#include "storage/memory_file_system.h"

namespace millstair::simulator {

class ControlMachine {
 public:
  ControlMachine(RunContext& context, const DeploymentPlan& plan, size_t index,
                 const FleetOptions& options);
  ~ControlMachine();

  /// Calls nest: the process runs again after as many calls of BringUp as of TakeDown.
  void TakeDown();
  void BringUp();
  /// Planned restart: drains and ends the process, starts it again after `pause`, calls `done`.
  void RestartPlanned(Duration pause, std::function<void()> done);
  /// Replaces the disk with an empty one. Only allowed while down.
  void LoseDisk();

  bool running() const { return node_ != nullptr; }
  /// Null while down.
  ControlNode* node() { return node_.get(); }
  VirtualEnvironment& environment() { return *environment_; }
  MemoryFileSystem& disk() { return disk_; }
  const NodePlan& plan() const { return plan_; }
  HostId host() const { return host_; }
  Incarnation incarnation() const { return incarnation_; }
  void SetClockRate(double rate);
  /// Sets the offset of the wall clock for this and all later incarnations.
  void SetWallClockOffset(Duration offset);
  /// Pauses the process while its clocks go on. The caller must hold back incoming messages.
  void Suspend();
  void Wake();

 private:
  void StartProcess();
  void KillProcess();
  ControlNodeOptions Options() const;

  RunContext& context_;
  const DeploymentPlan& deployment_;
  NodePlan plan_;
  std::shared_ptr<const ProductFaults> faults_;
  bool tail_handling_;
  uint64_t snapshot_after_entries_;
  HostId host_;
  /// Used by the disk while no process runs.
  VirtualEnvironment boot_environment_;
  MemoryFileSystem disk_;
  Incarnation incarnation_;
  double clock_rate_ = 1.0;
  Duration wall_clock_offset_{0};
  bool suspended_ = false;
  int down_reasons_ = 1;
  std::unique_ptr<VirtualEnvironment> environment_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<FabricHttpCaller> platform_;
  std::unique_ptr<ControlNode> node_;
};

}  // namespace millstair::simulator
