/// A small fleet in virtual time around the real rollout code: replicas of one stream, gateways
/// with workers, engine models, a scorer. Consensus, configuration and routing are simple
/// stand-ins.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "boost/json.hpp"
#include "cluster/cluster_commands.h"
#include "common/virtual_environment.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"
#include "rollout/rollout_worker.h"
#include "rollout/stream_factory.h"
#include "rollout/stream_leader.h"
#include "rollout/stream_state.h"
#include "stream_test_support.h"

namespace millstair {

inline const StreamName kStream("drafts");
inline const ModelName kModel("routing");

class FakeConfiguration : public ConfigurationClient {
 public:
  void Start() override {}
  const Configuration& configuration() const override { return held; }
  bool LeaseValid() const override { return lease; }
  void OnChange(std::function<void()> callback) override { listeners.push_back(callback); }
  void Report(EngineObservation observation) override { reports.push_back(observation); }
  void SetLeaving() override {}
  void Receive(const NodeId&, const PeerMessage&) override {}

  Configuration held;
  bool lease = true;
  std::vector<EngineObservation> reports;
  std::vector<std::function<void()>> listeners;
};

/// One log with a replica of the stream per control node. Every entry is applied to all replicas.
class FakeLog {
 public:
  explicit FakeLog(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Append(std::string command, std::function<void(absl::StatusOr<std::string>)> done) {
    scheduler_.Schedule(std::chrono::milliseconds(2), [this, command, done] {
      std::string result;
      ++index_;
      for (StreamState* replica : replicas) result = replica->Apply(LogIndex(index_), command);
      done(result);
    });
  }

  std::vector<StreamState*> replicas;
  NodeId leader;
  uint64_t term = 1;

 private:
  VirtualScheduler& scheduler_;
  uint64_t index_ = 0;
};

class FakeGroup : public RaftGroup {
 public:
  FakeGroup(FakeLog& log, NodeId node) : id_(StreamGroup(kStream)), log_(log), node_(node) {}
  const GroupId& id() const override { return id_; }
  bool IsLeader() const override { return log_.leader == node_; }
  std::optional<NodeId> Leader() const override { return log_.leader; }
  Term CurrentTerm() const override { return Term(log_.term); }
  LogIndex AppliedIndex() const override { return LogIndex(0); }
  std::vector<GroupMember> Members() const override { return {}; }
  void Propose(std::string command,
               std::function<void(absl::StatusOr<std::string>)> done) override {
    if (!IsLeader()) return done(absl::UnavailableError("not the leader"));
    log_.Append(std::move(command), std::move(done));
  }
  void ConfirmRead(std::function<void(absl::StatusOr<LogIndex>)> done) override {
    done(LogIndex(0));
  }
  void AddLearner(GroupMember, std::function<void(absl::Status)>) override {}
  void Promote(ReplicaId, std::function<void(absl::Status)>) override {}
  void RemoveMember(ReplicaId, std::function<void(absl::Status)>) override {}
  void TransferLeadership(std::function<void(absl::Status)>) override {}

 private:
  GroupId id_;
  FakeLog& log_;
  NodeId node_;
};

/// Engines in rotation, up to a number of generations each.
class FakePlacement : public EnginePlacement {
 public:
  std::optional<Placement> Place(const ResourceKey&, const RoutingRequest& request) override {
    for (size_t i = 0; i < engines.size(); ++i) {
      const auto& [name, address] = engines[next_++ % engines.size()];
      if (request.excluded.contains(name) || closed.contains(name)) continue;
      if (running_[name] >= limit) continue;
      ++running_[name];
      Placement placement;
      placement.id = PlacementId(++last_);
      placement.choice = {name, address, std::chrono::seconds(1)};
      placed_[placement.id] = name;
      return placement;
    }
    return std::nullopt;
  }
  void End(PlacementId id, const PlacementOutcome& outcome) override {
    const auto found = placed_.find(id);
    if (found == placed_.end()) return;
    --running_[found->second];
    placed_.erase(found);
    ended.push_back(outcome);
  }
  uint32_t RolloutRoom(const ResourceKey&) const override {
    uint32_t room = 0;
    for (const auto& [name, address] : engines) {
      if (closed.contains(name)) continue;
      const auto running = running_.find(name);
      room += limit - (running == running_.end() ? 0 : running->second);
    }
    return room;
  }

  uint32_t limit = 8;
  std::vector<std::pair<EngineName, std::string>> engines;
  std::set<EngineName> closed;
  std::vector<PlacementOutcome> ended;

 private:
  size_t next_ = 0;
  uint64_t last_ = 0;
  std::map<EngineName, uint32_t> running_;
  std::map<PlacementId, EngineName> placed_;
};

/// Hands calls to engine models by address.
class FakeEngines : public EngineClient {
 public:
  std::unique_ptr<CallHandle> Generate(const std::string& address, GenerateRequest request,
                                       GenerateObserver& observer) override {
    class Handle : public CallHandle {
     public:
      Handle(EngineModel& model, GenerationId id) : model_(model), id_(id) {}
      ~Handle() override { model_.Cancel(id_); }

     private:
      EngineModel& model_;
      GenerationId id_;
    };
    EngineModel& model = *models.at(address);
    requests.push_back(request);
    return std::make_unique<Handle>(model, model.Generate(std::move(request), observer));
  }
  void SendOrder(const std::string& address, const EngineOrder& order,
                 std::function<void(absl::Status)> done) override {
    models.at(address)->ApplyOrder(order, std::move(done));
  }
  void FetchReport(const std::string& address,
                   std::function<void(absl::StatusOr<EngineReport>)> done) override {
    done(models.at(address)->Report());
  }
  void FetchCacheEvents(const std::string&, uint64_t, bool,
                        std::function<void(absl::StatusOr<CacheEvents>)>) override {}

  std::map<std::string, EngineModel*> models;
  std::vector<GenerateRequest> requests;
};

/// Answers POST /score after a while; the first `failures` calls break off.
class FakeScorer : public HttpCaller {
 public:
  explicit FakeScorer(VirtualScheduler& scheduler) : scheduler_(scheduler) {}
  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest request,
                                    HttpCallObserver& observer) override {
    class Handle : public CallHandle {
     public:
      std::shared_ptr<bool> alive = std::make_shared<bool>(true);
      ~Handle() override { *alive = false; }
    };
    auto handle = std::make_unique<Handle>();
    scheduler_.Schedule(std::chrono::milliseconds(5),
                        [this, alive = handle->alive, body = request.body, &observer] {
                          if (*alive) Answer(body, observer);
                        });
    return handle;
  }

  int failures = 0;
  int calls = 0;

 private:
  void Answer(const std::string& body, HttpCallObserver& observer) {
    ++calls;
    if (failures > 0) {
      --failures;
      return observer.OnFailed(CallFailure::kUnknown, "reset");
    }
    const std::string text(boost::json::parse(body).as_object().at("text").as_string());
    observer.OnHead({200, {}});
    observer.OnBody(boost::json::serialize(boost::json::object{{"score", ScoreOf(text)}}));
    observer.OnFinished();
  }

  VirtualScheduler& scheduler_;
};

class RolloutFleet;

/// Commands of a gateway, with answers that may get lost.
class FakeControl : public ControlClient {
 public:
  explicit FakeControl(RolloutFleet& fleet) : fleet_(fleet) {}
  void Submit(const GroupId& group, CommandMode mode, std::string command, Duration timeout,
              Callback done) override;
  void Receive(const NodeId&, const PeerMessage&) override {}

  /// Answers to lose; the commands take effect all the same.
  int lose_answers = 0;
  uint64_t submitted = 0;
  /// Commands to the cluster group.
  std::vector<ClusterCommand> cluster_commands;
  ClusterResult cluster_result;

 private:
  RolloutFleet& fleet_;
};

struct GatewaySide {
  GatewaySide(RolloutFleet& fleet, VirtualScheduler& scheduler, const NodeId& name, uint64_t seed);
  NodeId node;
  VirtualEnvironment environment;
  FakeControl control;
  FakePlacement placement;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<RolloutWorker> worker;
};

struct ControlSide {
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
    auto side = std::make_unique<ControlSide>();
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
    gateways.push_back(std::make_unique<GatewaySide>(
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
    if (message.kind == MessageKind::kWorkReply && lose_work_replies > 0) {
      --lose_work_replies;
      return;
    }
    for (auto& gateway : gateways) {
      if (gateway->node == to && gateway->worker) gateway->worker->Receive(from, message);
    }
  }

  ControlSide& Leader() {
    for (auto& control : controls) {
      if (control->node == log.leader) return *control;
    }
    return *controls.front();
  }

  void Configure() {
    configuration.held.revision = Next(configuration.held.revision);
    for (auto& control : controls) control->leader->OnChange(configuration.held);
    for (const auto& listener : configuration.listeners) listener();
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
    log.Append(EncodeStreamCommand(HandOn{after, max}),
               [&](const absl::StatusOr<std::string>& answer) {
                 result = *DecodeStreamResult(*answer);
                 done = true;
               });
    scheduler.RunUntilTrue([&] { return done; }, std::chrono::seconds(1));
    return result;
  }

  /// Runs until all samples asked for are accepted; whether that came about.
  bool RunUntilWhole(Duration limit = std::chrono::seconds(60)) {
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
  FakeConfiguration configuration;
  FakeEngines engines;
  FakeScorer scorer;
  std::set<NodeId> down;
  int lose_work_replies = 0;
  std::vector<std::unique_ptr<EngineModel>> models;
  std::vector<std::unique_ptr<ControlSide>> controls;
  std::vector<std::unique_ptr<GatewaySide>> gateways;

 private:
  StreamFaults faults_;
  friend struct GatewaySide;
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
        if (lose_answers <= 0) return done(answer);
        --lose_answers;
        fleet_.scheduler.Schedule(timeout, [done] { done(absl::DeadlineExceededError("lost")); });
      });
}

inline GatewaySide::GatewaySide(RolloutFleet& fleet, VirtualScheduler& scheduler,
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
