/// Engines, plain servers and platform services of the fleet. They record what they observe.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/virtual_environment.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

/// Weight store, scorer and the platform's machine list, each on a separate host.
class Platform {
 public:
  Platform(RunContext& context, const DeploymentPlan& plan);

  WeightStoreModel& store() { return store_; }
  MachineListModel& list() { return list_; }
  HostId store_host() const { return store_host_; }
  /// While down, the scorer refuses connections.
  void SetScorerDown(bool down);
  uint64_t scored() const { return scorer_.scored(); }

 private:
  RunContext& context_;
  std::string scorer_address_;
  VirtualEnvironment environment_;
  HostId store_host_;
  WeightStoreModel store_;
  ScorerModel scorer_;
  MachineListModel list_;
};

/// Disturbances of all engines, in effect for the whole run.
struct EngineDisturbance {
  double activate_failure = 0;
  double cache_event_loss = 0;
  Duration cache_event_delay = std::chrono::milliseconds(100);
};

class EngineMachine {
 public:
  EngineMachine(RunContext& context, Platform& platform, const DeploymentPlan& plan, size_t index,
                const FleetOptions& options, const EngineDisturbance& disturbance);

  EngineModel& model() { return *model_; }
  const BackendPlan& plan() const { return plan_; }
  HostId host() const { return host_; }

  /// Calls nest: the engine runs again after as many calls of BringUp as of TakeDown.
  void TakeDown();
  void BringUp();
  /// The engine reports that it is leaving.
  void Drain();
  void Undrain();

 private:
  EngineModelLinks Links(Platform& platform);

  RunContext& context_;
  BackendPlan plan_;
  HostId host_;
  VirtualEnvironment environment_;
  std::unique_ptr<EngineModel> model_;
  int down_reasons_ = 0;
};

class ServerMachine : public RequestHandler {
 public:
  ServerMachine(RunContext& context, const DeploymentPlan& plan, size_t index);

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  const BackendPlan& plan() const { return plan_; }
  HostId host() const { return host_; }
  void TakeDown();
  void BringUp();
  void Drain();
  void Undrain();
  /// Sets the share of requests that are executed but whose response is cut.
  void SetCutAnswers(double share);

 private:
  uint64_t Executions(const ExecutionKey& key) const;

  RunContext& context_;
  BackendPlan plan_;
  HostId host_;
  VirtualEnvironment environment_;
  PlainServerModel model_;
  int down_reasons_ = 0;
};

/// Maps the prompt seeds that engines log to prompts.
class PromptRegistry {
 public:
  void Add(const std::string& prompt) { prompts_.emplace(SeedOf(prompt).value, prompt); }
  /// Appends the tokens that `engine` generated, according to its log, to `history`.
  void Collect(const EngineMachine& engine, const TruthLog& truth, checks::History& history) const;

 private:
  std::unordered_map<uint64_t, std::string> prompts_;
};

}  // namespace millstair::simulator
