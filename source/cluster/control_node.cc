#include "cluster/control_node.h"

#include <utility>
#include <vector>

#include "cluster/cluster_replica.h"
#include "cluster/cluster_submitter.h"
#include "cluster/cold_reports.h"
#include "cluster/command_service.h"
#include "cluster/control_client.h"
#include "cluster/heartbeat_service.h"
#include "cluster/machine_retirement.h"
#include "cluster/membership_manager.h"
#include "cluster/operators_api.h"
#include "cluster/push_service.h"
#include "cluster/replica_manager.h"
#include "cluster/stream_host.h"
#include "cluster/zone_evacuation.h"
#include "common/alive_flag.h"
#include "common/event_log.h"

namespace millstair {
namespace {

constexpr Duration kLeaderTaskInterval = std::chrono::seconds(1);
constexpr Duration kDrainPoll = std::chrono::milliseconds(100);
/// Leaderships not transferred by then are lost with the process.
constexpr Duration kDrainTimeout = std::chrono::seconds(10);

std::vector<ControlEndpoint> WithoutSelf(std::vector<ControlEndpoint> endpoints,
                                         const NodeId& self) {
  std::erase_if(endpoints,
                [&self](const ControlEndpoint& endpoint) { return endpoint.node == self; });
  return endpoints;
}

class ReplicatedControlNode : public ControlNode {
 public:
  ReplicatedControlNode(Environment& environment, PeerTransport& transport, FileSystem& files,
                        HttpCaller& platform, std::unique_ptr<StreamFactory> streams,
                        ControlNodeOptions options)
      : environment_(environment),
        transport_(transport),
        files_(files),
        options_(std::move(options)),
        cluster_(environment),
        relay_(environment, transport,
               {options_.self, WithoutSelf(options_.control_nodes, options_.self.node),
                options_.configuration_timing, options_.faults}),
        source_selector_(cluster_, options_.self.node),
        push_(environment, transport, cluster_, source_selector_),
        heartbeats_(environment, transport, cluster_, push_, source_selector_, options_.faults),
        membership_(environment, transport, platform, cluster_, options_),
        streams_(environment, transport, cluster_, std::move(streams), options_.self.node),
        commands_(environment, transport, cluster_, streams_, membership_, options_.self.node),
        submitter_(cluster_, commands_,
                   MakeControlClient(environment, transport, options_.self.node,
                                     WithoutSelf(options_.control_nodes, options_.self.node),
                                     options_.self.zone)),
        evacuation_(submitter_),
        operators_(environment, cluster_, submitter_, evacuation_),
        leader_task_timer_(environment),
        drain_timer_(environment) {}

  ~ReplicatedControlNode() override { streams_.Stop(); }

  absl::Status Start() override {
    auto identity = LoadOrCreateIdentity(files_, environment_.Random(), options_.cluster_id,
                                         options_.self.node, options_.self.address);
    if (!identity.ok()) return identity.status();
    const ReplicaId own = identity->replica;
    groups_ = MakeGroupHost(
        environment_, transport_, files_, *std::move(identity), options_.consensus_timing,
        options_.consensus_limits, [this](const GroupId& group) { return MakeStateMachine(group); },
        options_.consensus_faults);
    cluster_.Attach(*groups_);
    cluster_.SetRelay(relay_);
    cluster_.OnChange([this] { ConfigurationChanged(); });
    relay_.OnChange([this] { ConfigurationChanged(); });
    groups_->OnLeadershipChange([this](const GroupId&) { LeadershipChanged(); });
    if (absl::Status status = groups_->Start(); !status.ok()) return status;
    if (absl::Status status = OpenClusterGroup(own); !status.ok()) return status;
    own_replica_ = own;
    UpdateRelay();
    commands_.Start(*groups_);
    operators_.Start(*groups_);
    streams_.Start(*groups_);
    membership_.Start(own);
    replicas_ = std::make_unique<ReplicaManager>(environment_, *groups_, cluster_,
                                                 membership_.nodes(), options_);
    replicas_->Start();
    membership_.OnObservation([this](const NodeId& gateway, const EngineObservation& observation) {
      for (const auto& task : leader_tasks_) task->Observe(gateway, observation);
    });
    RunLeaderTasks();
    return absl::OkStatus();
  }

  GroupHost& groups() override { return *groups_; }
  const Configuration& configuration() const override { return cluster_.configuration(); }
  bool IsClusterLeader() const override { return cluster_.IsLeader(); }
  void AddLeaderTask(std::unique_ptr<LeaderTask> task) override {
    leader_tasks_.push_back(std::move(task));
  }

  void Propose(ClusterCommand command,
               std::function<void(absl::StatusOr<ClusterResult>)> done) override {
    cluster_.Propose(std::move(command), std::move(done));
  }

  void Submit(ClusterOperation operation,
              std::function<void(absl::StatusOr<ClusterResult>)> done) override {
    submitter_.ChangeRepeatable(std::move(operation), std::move(done));
  }

  void ReportInstance(const BackendInstance& instance,
                      std::function<void(absl::StatusOr<ClusterResult>)> done) override {
    const bool cold_change = cold_.NeedsCommit(instance.id, instance.cold_left, environment_.Now());
    if (!cold_change && IsCommitted(instance)) return done(ClusterResult());
    Submit(UpdateInstance{instance}, std::move(done));
  }

  void RetireMachine(const std::string& machine,
                     std::function<void(absl::StatusOr<ClusterResult>)> done) override {
    const size_t voters = options_.voters != 0 ? options_.voters : options_.initial_members.size();
    const absl::Status retirable =
        CheckRetirable(configuration(), machine, {voters, options_.storage_voters});
    if (retirable.ok()) return RetireAll(ReplicaNodesOf(configuration(), machine), std::move(done));
    ClusterResult refused;
    refused.code =
        absl::IsNotFound(retirable) ? ClusterResultCode::kNotFound : ClusterResultCode::kConflict;
    refused.message = std::string(retirable.message());
    done(refused);
  }

  void EvacuateZone(const millstair::EvacuateZone& evacuation,
                    std::function<void(absl::StatusOr<ClusterResult>)> done) override {
    evacuation_.Submit(evacuation, std::move(done));
  }

  void ConfirmRead(std::function<void(absl::Status)> done) override {
    cluster_.ConfirmRead(std::move(done));
  }

  Duration ConfirmationReadAge() const override { return heartbeats_.ReadAge(); }

  const UsageLedger& usage() const override { return cluster_.usage(); }

  const PoolSizes& pool_sizes() const override { return cluster_.pool_sizes(); }

  FeatureLevel MinLevel() const override { return membership_.MinLevel().level; }

  void OnPoolReport(std::function<void(const PoolReport&)> callback) override {
    commands_.OnPoolReport(std::move(callback));
  }

  std::optional<WallTime> AgreedTime() const override { return commands_.AgreedTime(); }

  void OnLeaseAnnounced(std::function<void(const LeaseAnnouncement&)> callback) override {
    cluster_.OnLeaseAnnounced(std::move(callback));
  }

  bool Ready() const override { return cluster_.CanConfirm() && cluster_.Leader().has_value(); }

  void Drain(std::function<void()> done) override {
    membership_.SetLeaving();
    relay_.SetLeaving();
    operators_.Drain();
    drain_until_ = environment_.Now() + kDrainTimeout;
    TransferLeaderships(std::move(done));
  }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    if (groups_ == nullptr) return;
    switch (message.kind) {
      case MessageKind::kRaft:
        return groups_->Receive(from, message);
      case MessageKind::kHeartbeat:
        return ReceiveHeartbeat(from, message);
      case MessageKind::kCommand:
        return commands_.ReceiveCommand(from, message);
      case MessageKind::kCommandReply:
        if (!commands_.ForwardReply(message)) submitter_.Receive(from, message);
        return;
      case MessageKind::kWorkRequest:
        return streams_.ReceiveWork(from, message);
      case MessageKind::kHeartbeatReply:
      case MessageKind::kConfigurationPush:
        return relay_.Receive(from, message);
      default:
        return;  // meant for the gateway part of this process
    }
  }

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override {
    operators_.Handle(std::move(request), std::move(writer));
  }

 private:
  /// Retires the last of `nodes`, then the others. Retiring a node twice is harmless.
  void RetireAll(std::vector<NodeId> nodes,
                 std::function<void(absl::StatusOr<ClusterResult>)> done) {
    if (nodes.empty()) return done(ClusterResult());
    const NodeId node = nodes.back();
    nodes.pop_back();
    Submit(RetireNode{{node, false}},
           alive_.Guard([this, nodes = std::move(nodes),
                         done = std::move(done)](const absl::StatusOr<ClusterResult>& result) {
             if (!result.ok() || result->code != ClusterResultCode::kOk) return done(result);
             RetireAll(nodes, done);
           }));
  }

  std::unique_ptr<StateMachine> MakeStateMachine(const GroupId& group) {
    if (group != kClusterGroup) return streams_.MakeStateMachine(group);
    ClusterLimits limits;
    limits.claims.retention = options_.claim_retention;
    return cluster_.MakeStateMachine(limits, options_.faults);
  }

  /// An initial member opens the group; any other node gets it from the leader once it has joined.
  absl::Status OpenClusterGroup(ReplicaId own) {
    if (!options_.bootstrap) return absl::OkStatus();
    for (const GroupMember& member : options_.initial_members) {
      if (member.replica != own) continue;
      return groups_->OpenGroup(kClusterGroup, options_.initial_members).status();
    }
    return absl::OkStatus();
  }

  /// Whether the committed state contains everything in the report.
  bool IsCommitted(const BackendInstance& reported) const {
    const auto found = configuration().instances.find(reported.id);
    if (found == configuration().instances.end()) return false;
    const BackendInstance& committed = found->second;
    // Reports of a superseded instance, or of one with a competing incarnation, have to be counted.
    if (committed.superseded || committed.rival.reports > 0) return false;
    if (committed.state < reported.state) return false;
    if (reported.address.empty() || reported.sequence <= committed.sequence) return true;
    return committed.address == reported.address && committed.service == reported.service &&
           committed.models == reported.models && committed.slots == reported.slots &&
           committed.spot == reported.spot;
  }

  void ReceiveHeartbeat(const NodeId& from, const PeerMessage& message) {
    const auto heartbeat = DecodeHeartbeat(message.payload);
    if (!heartbeat.ok()) return heartbeats_.OnUnreadable(from, heartbeat.status());
    membership_.OnHeartbeat(*heartbeat);
    if (heartbeat->nonce != 0) heartbeats_.OnHeartbeat(*heartbeat);
  }

  /// Called while an entry is applied: only sets flags and arms timers.
  void ConfigurationChanged() {
    push_.ConfigurationChanged();
    operators_.ConfigurationChanged();
    streams_.Update();
    if (!leader_tasks_due_) {
      leader_tasks_due_ = true;
      leader_task_timer_.Arm(Duration(0), [this] { RunLeaderTasks(); });
    }
  }

  /// Follows a remote replica while there is no current one here.
  void UpdateRelay() {
    if (relay_.running()) {
      if (cluster_.UsesReplica()) relay_.Stop();
    } else if (cluster_.group() == nullptr && !options_.control_nodes.empty()) {
      relay_.Start(own_replica_);
    }
  }

  void LeadershipChanged() {
    streams_.Update();
    leader_task_timer_.Arm(Duration(0), [this] { RunLeaderTasks(); });
  }

  void RunLeaderTasks() {
    leader_tasks_due_ = false;
    leader_task_timer_.Arm(kLeaderTaskInterval, [this] { RunLeaderTasks(); });
    UpdateRelay();
    UpdateAddresses();
    if (!cluster_.IsLeader()) return;
    for (const auto& task : leader_tasks_) task->Run(cluster_.configuration());
  }

  /// Lets stream leaders reply to gateways that never contacted this node.
  void UpdateAddresses() {
    // Skipped unless nodes changed: it costs one message to the transport for each node of the
    // fleet.
    if (cluster_.nodes_changed_at() == addresses_updated_at_) return;
    addresses_updated_at_ = cluster_.nodes_changed_at();
    for (const auto& [node, record] : cluster_.configuration().nodes) {
      if (node == options_.self.node || record.state == MemberState::kGone) continue;
      transport_.SetAddress(node, record.address);
    }
  }

  void TransferLeaderships(std::function<void()> done) {
    bool leads = false;
    for (RaftGroup* group : groups_->Groups()) {
      if (!group->IsLeader()) continue;
      const auto members = group->Members();
      size_t voters = 0;
      for (const GroupMember& member : members) voters += member.voter ? 1 : 0;
      if (voters < 2) continue;  // nobody to hand over to
      leads = true;
      group->TransferLeadership([](const absl::Status&) {});
    }
    if (!leads || environment_.Now() >= drain_until_) return done();
    drain_timer_.Arm(kDrainPoll, [this, done = std::move(done)] { TransferLeaderships(done); });
  }

  Environment& environment_;
  PeerTransport& transport_;
  FileSystem& files_;
  const ControlNodeOptions options_;

  ClusterReplica cluster_;
  ClusterRelay relay_;
  SourceSelector source_selector_;
  PushService push_;
  HeartbeatService heartbeats_;
  MembershipManager membership_;
  StreamHost streams_;
  CommandService commands_;
  ClusterSubmitter submitter_;
  ZoneEvacuation evacuation_;
  OperatorsApi operators_;
  std::vector<std::unique_ptr<LeaderTask>> leader_tasks_;
  std::unique_ptr<GroupHost> groups_;
  std::unique_ptr<ReplicaManager> replicas_;
  ColdReports cold_;
  ReplicaId own_replica_;
  /// Revision of the last node change whose addresses were set in the transport.
  Revision addresses_updated_at_;
  bool leader_tasks_due_ = false;
  TimePoint drain_until_;
  ScopedTimer leader_task_timer_;
  ScopedTimer drain_timer_;
  AliveFlag alive_;
};

}  // namespace

std::unique_ptr<ControlNode> MakeControlNode(Environment& environment, PeerTransport& transport,
                                             FileSystem& files, HttpCaller& platform,
                                             std::unique_ptr<StreamFactory> streams,
                                             ControlNodeOptions options) {
  return std::make_unique<ReplicatedControlNode>(environment, transport, files, platform,
                                                 std::move(streams), std::move(options));
}

}  // namespace millstair
