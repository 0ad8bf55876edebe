/// The simulated fleet of one run: machines, platform services and clients, and the access that
/// faults need to them.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "simulator/clients/callers.h"
#include "simulator/clients/operator_client.h"
#include "simulator/clients/trainer.h"
#include "simulator/fleet/back_ends.h"
#include "simulator/fleet/control_machine.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/fleet.h"
#include "simulator/fleet/gateway_machine.h"
#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

/// Number of test resources ("notes") that operators change to produce concurrent updates.
inline constexpr uint32_t kNotes = 4;

class World {
 public:
  explicit World(const FleetOptions& options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Starts all processes; load begins once the operators' initial resources are accepted.
  void Start();
  void RunUntil(Duration time) { scheduler_.RunUntil(time); }

  const FleetOptions& options() const { return options_; }
  const DeploymentPlan& plan() const { return plan_; }
  VirtualScheduler& scheduler() { return scheduler_; }
  Network& network() { return network_; }
  checks::History& history() { return history_; }
  RunContext& context() { return context_; }
  Platform& platform() { return *platform_; }
  std::vector<std::unique_ptr<ControlMachine>>& controls() { return controls_; }
  std::vector<std::unique_ptr<GatewayMachine>>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<EngineMachine>>& engines() { return engines_; }
  std::vector<std::unique_ptr<ServerMachine>>& servers() { return servers_; }
  std::vector<std::unique_ptr<Trainer>>& trainers() { return trainers_; }
  std::vector<std::unique_ptr<OperatorClient>>& operators() { return operators_; }

  /// Hosts of control machines and gateways.
  std::vector<HostId> NodeHosts() const;
  /// All hosts except those of clients.
  std::vector<HostId> FleetHosts() const;
  /// Whether every group has a leader and three voters, and no voter has lost its disk.
  bool FullyReplicated() const;
  /// The machine that leads the cluster group according to its own state; null if there is none.
  ControlMachine* ClusterLeader();
  /// The resource as the operators applied it at the start.
  Resource InitialResource(const ResourceKey& key) const;

  /// Adds the tokens that engines generated and the end of the run to the history.
  void CloseHistory();
  /// Time from each acceptance until all running nodes had applied the change, in order of
  /// acceptance.
  const std::vector<Duration>& in_force_times() const { return in_force_times_; }

 private:
  struct AwaitedRevision {
    Revision revision;
    Duration accepted{0};
  };

  void BuildMachines();
  void BuildClients();
  void BeginLoad();
  void Sample();
  void RecordConfiguration(checks::ConfigurationSeen seen);
  void MeasureInForce(Revision smallest);

  FleetOptions options_;
  DeploymentPlan plan_;
  VirtualScheduler scheduler_;
  Network network_;
  HttpFabric http_;
  PeerFabric peers_;
  checks::History history_;
  EngineFabric engine_fabric_;
  RunContext context_;
  PromptRegistry prompts_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<EngineMachine>> engines_;
  std::vector<std::unique_ptr<ServerMachine>> servers_;
  std::vector<std::unique_ptr<ControlMachine>> controls_;
  std::vector<std::unique_ptr<GatewayMachine>> gateways_;
  std::unique_ptr<Callers> callers_;
  std::vector<std::unique_ptr<Trainer>> trainers_;
  std::vector<std::unique_ptr<OperatorClient>> operators_;
  std::vector<Resource> initial_resources_;
  std::map<NodeId, checks::ConfigurationSeen> last_seen_;
  size_t first_awaited_ = 0;
  std::vector<Duration> in_force_times_;
};

}  // namespace millstair::simulator
