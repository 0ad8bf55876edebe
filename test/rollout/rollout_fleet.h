/// A small fleet in virtual time with the real rollout code: replicas of one stream, gateways with
/// workers, engine models, a scorer. Consensus, configuration and routing are fakes.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_commands.h"
#include "rollout/rollout_worker.h"
#include "rollout/stream_factory.h"
#include "rollout/stream_leader.h"
#include "rollout_fakes.h"
#include "stream_test_support.h"

namespace millstair {

class RolloutFleet;

/// Submits the commands of a gateway; replies may be dropped.
class FakeControl : public ControlClient {
 public:
  explicit FakeControl(RolloutFleet& fleet) : fleet_(fleet) {}
  void Submit(const GroupId& group, CommandMode mode, std::string command, Duration timeout,
              Callback done) override;
  void Receive(const NodeId&, const PeerMessage&) override {}

  /// Number of replies to drop; the commands still take effect.
  int answers_to_drop = 0;
  uint64_t submitted = 0;
  /// Commands to the cluster group.
  std::vector<ClusterCommand> cluster_commands;
  ClusterResult cluster_result;

 private:
  RolloutFleet& fleet_;
};

struct RolloutGateway {
  RolloutGateway(RolloutFleet& fleet, VirtualScheduler& scheduler, const NodeId& name,
                 uint64_t seed);
  NodeId node;
  VirtualEnvironment environment;
  FakeControl control;
  FakePlacement placement;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<RolloutWorker> worker;
};

struct ControlReplica {
  NodeId node;
  std::unique_ptr<VirtualEnvironment> environment;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<FakeGroup> group;
  std::unique_ptr<StreamState> state;
  std::unique_ptr<StreamLeaderNode> leader;
};

class RolloutFleet {
 public:
  explicit RolloutFleet(StreamFaults faults = {}, uint64_t seed = 1)
      : scheduler(seed), log(scheduler), scorer(scheduler), faults_(faults) {
    configuration.held = MakeConfiguration();
    for (int i = 0; i < 2; ++i) AddEngine(i);
    for (int i = 0; i < 2; ++i) AddControl(i);
    log.leader = controls.front()->node;
    for (int i = 0; i < 2; ++i) AddGateway(i);
    PublishVersion(1);
  }

  static Configuration MakeConfiguration() {
    Configuration held;
    held.revision = Revision(1);
    PoolSpec pool;
    pool.model = kModel;
    StreamSpec stream;
    stream.pool = "pool";
    stream.scorer = "10.0.0.9:80";
    stream.max_tokens = 64;
    Add(held, "pool", pool);
    Add(held, kStream.value(), stream);
    Add(held, kModel.value(), ModelSpec());
    Add(held, "m", MachineSpec());
    for (int i = 0; i < 2; ++i) {
      EngineSpec engine;
      engine.machine = "m";
      engine.address = Address(i);
      Add(held, "engine-" + std::to_string(i), engine);
    }
    held.models[kModel].model = kModel;
    return held;
  }

  template <class Spec>
  static void Add(Configuration& held, const std::string& name, Spec spec) {
    Resource resource{name, {}, std::move(spec), Revision(1)};
    held.resources[resource.key()] = resource;
  }

  static std::string Address(int engine) { return "10.0.1." + std::to_string(engine) + ":80"; }

  void AddEngine(int i) {
    EngineModelOptions options;
    options.initial_weights = {kModel, WeightVersion(1), DigestOfVersion(1)};
    options.first_incarnation = Incarnation(100 * (static_cast<uint64_t>(i) + 1));
    auto environment = std::make_unique<VirtualEnvironment>(scheduler, 50 + i);
    models.push_back(std::make_unique<EngineModel>(*environment, options));
    environments_.push_back(std::move(environment));
    engines.models[Address(i)] = models.back().get();
  }

  void AddControl(int i) {
    auto side = std::make_unique<ControlReplica>();
    side->node = NodeId("control-" + std::to_string(i));
    side->environment = std::make_unique<VirtualEnvironment>(scheduler, 10 + i);
    side->transport = MakeTransport(side->node);
    side->group = std::make_unique<FakeGroup>(log, side->node);
    side->state = std::make_unique<StreamState>(faults_);
    log.replicas.push_back(side->state.get());
    side->leader = std::make_unique<StreamLeaderNode>(
        *side->environment, *side->transport, *side->group, *side->state, StreamLeaderOptions());
    controls.push_back(std::move(side));
  }

  void AddGateway(int i) {
    gateways.push_back(std::make_unique<RolloutGateway>(
        *this, scheduler, NodeId("gateway-" + std::to_string(i)), 20 + i));
  }

  std::unique_ptr<PeerTransport> MakeTransport(const NodeId& node) {
    class Transport : public PeerTransport {
     public:
      Transport(RolloutFleet& fleet, NodeId node) : fleet_(fleet), node_(node) {}
      void Send(const NodeId& to, PeerMessage message) override {
        fleet_.scheduler.Schedule(std::chrono::milliseconds(1),
                                  [this, to, message] { fleet_.Deliver(node_, to, message); });
      }
      void SetAddress(const NodeId&, const std::string&) override {}

     private:
      RolloutFleet& fleet_;
      NodeId node_;
    };
    return std::make_unique<Transport>(*this, node);
  }

  void Deliver(const NodeId& from, const NodeId& to, const PeerMessage& message) {
    if (down.contains(from) || down.contains(to)) return;
    if (message.kind == MessageKind::kWorkRequest)
      return Leader().leader->ReceiveWork(from, message);
    if (message.kind == MessageKind::kWorkReply && work_replies_to_drop > 0) {
      --work_replies_to_drop;
      return;
    }
    for (auto& gateway : gateways) {
      if (gateway->node == to && gateway->worker) gateway->worker->Receive(from, message);
    }
  }

  ControlReplica& Leader() {
    for (auto& control : controls) {
      if (control->node == log.leader) return *control;
    }
    return *controls.front();
  }

  void Configure() {
    configuration.held.revision = Next(configuration.held.revision);
    for (auto& control : controls) control->leader->OnChange(configuration.held);
    for (const auto& listener : configuration.listeners) listener(ConfigurationDelta{});
  }

  void PublishVersion(uint64_t version) {
    ModelStatus& status = configuration.held.models[kModel];
    status.published.push_back({WeightVersion(version), DigestOfVersion(version), "w"});
    status.staged = WeightVersion(version);
    status.active = WeightVersion(version);
    Configure();
  }

  StreamSpec& Spec() {
    return std::get<StreamSpec>(
        configuration.held.resources.at({ResourceKind::kStream, kStream.value()}).spec);
  }

  void Execute(StreamCommand command) {
    log.Append(EncodeStreamCommand(command), [](const absl::StatusOr<std::string>&) {});
  }

  StreamResult Read(StreamOffset after, uint32_t max = 100) {
    StreamResult result;
    bool done = false;
    log.Append(EncodeStreamCommand(DeliverSamples{after, max}),
               [&](const absl::StatusOr<std::string>& answer) {
                 result = *DecodeStreamResult(*answer);
                 done = true;
               });
    scheduler.RunUntilTrue([&] { return done; }, std::chrono::seconds(1));
    return result;
  }

  /// Runs until all requested samples are accepted; false if `limit` passes first.
  bool RunUntilComplete(Duration limit = std::chrono::seconds(60)) {
    return scheduler.RunUntilTrue(
        [this] {
          const StreamData& data = Leader().state->data();
          return data.next_step > 1 && data.open.empty();
        },
        limit);
  }

  VirtualScheduler scheduler;

 private:
  std::vector<std::unique_ptr<VirtualEnvironment>> environments_;

 public:
  FakeLog log;
  FakeConfigurationClient configuration;
  FakeEngines engines;
  FakeScorer scorer;
  std::set<NodeId> down;
  int work_replies_to_drop = 0;
  std::vector<std::unique_ptr<EngineModel>> models;
  std::vector<std::unique_ptr<ControlReplica>> controls;
  std::vector<std::unique_ptr<RolloutGateway>> gateways;

 private:
  StreamFaults faults_;
  friend struct RolloutGateway;
};

inline void FakeControl::Submit(const GroupId& group, CommandMode mode, std::string command,
                                Duration timeout, Callback done) {
  ++submitted;
  if (group == GroupId("cluster")) {
    cluster_commands.push_back(*DecodeCommand(command));
    return done(EncodeResult(cluster_result));
  }
  if (mode == CommandMode::kQuery) return fleet_.Leader().leader->Query(command, std::move(done));
  fleet_.log.Append(
      std::move(command), [this, timeout, done](const absl::StatusOr<std::string>& answer) {
        if (answers_to_drop <= 0) return done(answer);
        --answers_to_drop;
        fleet_.scheduler.Schedule(timeout, [done] { done(absl::DeadlineExceededError("lost")); });
      });
}

inline RolloutGateway::RolloutGateway(RolloutFleet& fleet, VirtualScheduler& scheduler,
                                      const NodeId& name, uint64_t seed)
    : node(name), environment(scheduler, seed), control(fleet) {
  transport = fleet.MakeTransport(node);
  for (int i = 0; i < 2; ++i) {
    placement.engines.push_back(
        {EngineName("engine-" + std::to_string(i)), RolloutFleet::Address(i)});
  }
  RolloutWorkerOptions options;
  options.self = node;
  options.control_nodes = {{NodeId("control-0"), "", Zone("z")}};
  options.faults = fleet.faults_;
  worker = MakeRolloutWorker(environment, *transport, fleet.engines, fleet.scorer, placement,
                             control, fleet.configuration, options);
  worker->Start();
}

}  // namespace millstair
