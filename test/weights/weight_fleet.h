/// Engine models with the real weight target task and reconcilers; the cluster state is a plain
/// value.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/virtual_environment.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"
#include "fmt/format.h"
#include "test/cluster/fake_configuration_client.h"
#include "weights/engine_reconciler.h"
#include "weights/weight_target_task.h"

namespace millstair {

inline const ModelName kCaption("caption");

inline WeightDigest WeightsDigest(uint64_t version) {
  return WeightDigest(fmt::format("sha-w{}", version));
}

/// Sends orders to engine models and records them.
class WeightsEngines : public EngineClient {
 public:
  std::unique_ptr<CallHandle> Generate(const std::string&, GenerateRequest,
                                       GenerateObserver&) override {
    return nullptr;
  }
  void SendOrder(const std::string& address, const EngineOrder& order,
                 std::function<void(absl::Status)> done) override {
    orders.push_back(order);
    if (unreachable == address) return;  // no reply
    models.at(address)->ApplyOrder(order, std::move(done));
  }
  void FetchReport(const std::string&, std::function<void(absl::StatusOr<EngineReport>)>) override {
  }
  void FetchCacheEvents(const std::string&, uint64_t, bool,
                        std::function<void(absl::StatusOr<CacheEvents>)>) override {}

  uint64_t Count(OrderKind kind) const {
    uint64_t count = 0;
    for (const EngineOrder& order : orders) count += order.kind == kind ? 1 : 0;
    return count;
  }

  std::map<std::string, EngineModel*> models;
  std::vector<EngineOrder> orders;
  std::string unreachable;
};

class WeightFleet {
 public:
  static constexpr Duration kPoll = std::chrono::milliseconds(250);

  explicit WeightFleet(int engine_count, int gateway_count = 2, ReconcilerOptions options = {})
      : scheduler(7), store_environment_(scheduler, 3), store(store_environment_, {}) {
    Configuration& held = configuration.held;
    held.revision = Revision(10);
    MatchSpec match;
    match.models = Selector();
    match.engines = Selector();
    Add("all", match);
    ModelSpec model;
    model.store_bytes_per_second = 400'000'000;
    model.version_bytes = 100'000'000;
    Add(kCaption.value(), model);
    held.models[kCaption].model = kCaption;
    for (int i = 0; i < engine_count; ++i) AddEngine(i);
    for (int i = 0; i < gateway_count; ++i) AddGateway(i, options);
    task = MakeWeightTargetTask(store_environment_,
                                [this](const ClusterCommand& command) { Apply(command); });
    Poll();
    RunTask();
  }

  template <class Spec>
  void Add(const std::string& name, Spec spec) {
    Resource resource{name, {}, std::move(spec), configuration.held.revision};
    configuration.held.resources[resource.key()] = resource;
  }

  static EngineName Name(int engine) { return EngineName(fmt::format("engine-{}", engine)); }
  static std::string Address(int engine) { return fmt::format("10.0.2.{}:80", engine); }

  void AddEngine(int i) {
    Add(fmt::format("machine-{}", i), MachineSpec());
    EngineSpec spec;
    spec.machine = fmt::format("machine-{}", i);
    spec.address = Address(i);
    Add(Name(i).value(), spec);
    EngineModelOptions options;
    options.first_incarnation = Incarnation(static_cast<uint64_t>(100 * (i + 1)));
    EngineModelLinks links;
    links.fetch_weights = [this](const std::string& location, auto done) {
      store.Fetch(location, std::move(done));
    };
    environments_.push_back(std::make_unique<VirtualEnvironment>(scheduler, 40 + i));
    models.push_back(std::make_unique<EngineModel>(*environments_.back(), options, links));
    engines.models[Address(i)] = models.back().get();
  }

  /// Gateway 0 is the first observer of even engines and the second of odd ones; gateway 1 the
  /// reverse.
  void AddGateway(int i, ReconcilerOptions options) {
    environments_.push_back(std::make_unique<VirtualEnvironment>(scheduler, 80 + i));
    gateways.push_back(
        MakeEngineReconciler(*environments_.back(), engines, configuration, options));
    std::map<EngineName, uint32_t> ranks;
    for (size_t engine = 0; engine < models.size(); ++engine) {
      ranks[Name(static_cast<int>(engine))] = (static_cast<int>(engine) + i) % 2;
    }
    gateways.back()->SetObserved(ranks);
    gateways.back()->Start();
  }

  void Poll() {
    for (size_t i = 0; i < models.size(); ++i) {
      const absl::StatusOr<EngineReport> report = models[i]->Report();
      if (!report.ok()) continue;
      for (auto& gateway : gateways) gateway->OnEngineReport(Name(static_cast<int>(i)), *report);
    }
    scheduler.Schedule(kPoll, [this] { Poll(); });
  }

  void RunTask() {
    for (const EngineObservation& report : configuration.reports) {
      task->Observe(NodeId("gateway"), report);
    }
    configuration.reports.clear();
    task->Run(configuration.held);
    scheduler.Schedule(std::chrono::seconds(1), [this] { RunTask(); });
  }

  void Apply(const ClusterCommand& command) {
    const auto& target = std::get<SetModelTarget>(command.operation);
    ModelStatus& status = configuration.held.models.at(target.model);
    configuration.held.revision = Next(configuration.held.revision);
    if (target.staged != status.staged) status.staged_at = configuration.held.revision;
    if (target.active != status.active) {
      status.active_at = configuration.held.revision;
      activated_at = scheduler.Now();
    }
    status.staged = target.staged;
    status.active = target.active;
    targets.push_back(target);
  }

  void Publish(uint64_t version) {
    configuration.held.revision = Next(configuration.held.revision);
    configuration.held.models[kCaption].published.push_back(
        {WeightVersion(version), WeightsDigest(version), fmt::format("w{}", version)});
    task->Run(configuration.held);
  }

  uint32_t Serving(uint64_t version) const {
    uint32_t count = 0;
    for (const auto& model : models) {
      const EngineReport report = model->CurrentReport();
      const bool serves = model->running() && report.shards == ShardState::kConsistent &&
                          report.active_version == WeightVersion(version);
      count += serves ? 1 : 0;
    }
    return count;
  }

  bool RunUntilServing(uint64_t version, Duration limit = std::chrono::seconds(60)) {
    return scheduler.RunUntilTrue([&] { return Serving(version) == models.size(); }, limit);
  }

  VirtualScheduler scheduler;

 private:
  VirtualEnvironment store_environment_;
  std::vector<std::unique_ptr<VirtualEnvironment>> environments_;

 public:
  WeightStoreModel store;
  FakeConfigurationClient configuration;
  WeightsEngines engines;
  std::vector<std::unique_ptr<EngineModel>> models;
  std::vector<std::unique_ptr<EngineReconciler>> gateways;
  std::unique_ptr<LeaderTask> task;
  std::vector<SetModelTarget> targets;
  Duration activated_at{0};
};

}  // namespace millstair
