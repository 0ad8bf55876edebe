/// A gateway machine of the fleet and its process. Gateways have no disk.
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

  /// Calls nest: the process runs again after as many calls of BringUp as of TakeDown.
  void TakeDown();
  void BringUp();
  /// Planned restart: drains and ends the process, starts it again after `pause`, calls `done`.
  /// Records responses that the stop cuts.
  void RestartPlanned(Duration pause, std::function<void()> done);

  bool running() const { return node_ != nullptr; }
  /// Null while down.
  GatewayNode* node() { return node_.get(); }
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
