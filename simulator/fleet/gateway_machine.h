/// A gateway machine of the fleet and its process. It has no disk.
#pragma once

#include <functional>
#include <memory>

#include "common/virtual_environment.h"
#include "gateway/gateway_node.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/product_faults.h"
#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

class GatewayMachine {
 public:
  GatewayMachine(RunContext& context, const DeploymentPlan& plan, size_t index,
                 const FleetOptions& options);
  ~GatewayMachine();

  /// Reasons to be down add up; the process runs while there is none.
  void TakeDown();
  void BringUp();
  /// Planned stop: drains, ends the process, starts it again after `pause`; `done` follows. Records
  /// answers that the stop cut.
  void RestartPlanned(Duration pause, std::function<void()> done);

  bool running() const { return node_ != nullptr; }
  /// Null while down.
  GatewayNode* node() { return node_.get(); }
  const NodePlan& plan() const { return plan_; }
  HostId host() const { return host_; }
  Incarnation incarnation() const { return incarnation_; }
  void SetClockRate(double rate);
  /// The time of day is off by so much, also in the lives to come.
  void SetWallClockOffset(Duration offset);
  /// The process stands still, its clocks go on. What reaches it meanwhile is for the caller to
  /// hold.
  void Suspend();
  void Wake();

 private:
  void StartProcess();
  void KillProcess();
  GatewayNodeOptions Options() const;

  RunContext& context_;
  const DeploymentPlan& deployment_;
  const FleetOptions& options_;
  NodePlan plan_;
  HostId host_;
  Incarnation incarnation_;
  double clock_rate_ = 1.0;
  Duration wall_clock_offset_{0};
  bool suspended_ = false;
  int down_reasons_ = 1;
  std::unique_ptr<VirtualEnvironment> environment_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<FabricHttpCaller> http_;
  std::unique_ptr<FabricEngineClient> engines_;
  std::unique_ptr<GatewayNode> node_;
};

}  // namespace millstair::simulator
