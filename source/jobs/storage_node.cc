#include "jobs/storage_node.h"

#include <utility>

#include "cluster/cluster_commands.h"
#include "cluster/cluster_replica.h"
#include "cluster/feature_level.h"
#include "cluster/group_client.h"
#include "cluster/suspect_client.h"
#include "common/event_log.h"
#include "jobs/job_group_bootstrapper.h"
#include "jobs/job_group_nodes.h"
#include "jobs/job_placement_reporter.h"
#include "jobs/job_service.h"
#include "jobs/pool_need_reporter.h"

namespace millstair {
namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(5);
/// A report of needs that takes longer is outdated; the next one follows.
constexpr Duration kNeedReportTimeout = std::chrono::seconds(1);
constexpr Duration kOpenRetryInterval = std::chrono::seconds(1);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kDrainTimeout = std::chrono::seconds(3);

class ReplicatedStorageNode : public StorageNode {
 public:
  ReplicatedStorageNode(Environment& environment, PeerTransport& transport, FileSystem& files,
                        HttpCaller& http, const BackendProtocol& protocol,
                        const RoutingDocumentReader& reader, StorageNodeOptions options)
      : environment_(environment),
        transport_(transport),
        files_(files),
        http_(http),
        options_(std::move(options)),
        ingress_(environment, http, protocol, reader, options_.self.zone, options_.stats),
        loads_(environment, http, ingress_.directory(), protocol, options_.self.node,
               options_.loads),
        service_(
            environment, transport, [this] { return PlacedLeader(configuration(), kJobGroup); },
            options_.stats, options_.job_service),
        cluster_(environment, transport, kClusterGroup, [this] { return ControlNodes(); }),
        suspects_(cluster_),
        placement_(environment, options_.self.node,
                   [this](PlaceJobGroup placement, std::function<void(absl::Status)> done) {
                     SubmitToCluster(std::move(placement), std::move(done));
                   }),
        pool_needs_(
            environment, [this] { return CollectPoolNeeds(); },
            [this](ReportPoolNeeds report, std::function<void(absl::Status)> done) {
              SubmitOperation(
                  cluster_, std::move(report), kNeedReportTimeout,
                  [done = std::move(done)](const absl::StatusOr<ClusterResult>& result) {
                    done(result.status());
                  });
            }),
        open_timer_(environment),
        drain_timer_(environment) {
    service_.SetAdmission([this](const JobSpec& job) -> std::optional<JobRejection> {
      if (scheduler_ == nullptr) return std::nullopt;
      return scheduler_->RejectionOf(job);
    });
    service_.SetEndListener([this](const JobId& job) {
      if (scheduler_ != nullptr) scheduler_->OnEndReceived(job);
    });
    ingress_.SetSuspectRegister(suspects_);
    ingress_.SetColdBound(options_.cold_bound);
    ingress_.directory().SetColdAssignmentCheck(
        [this](const InstanceId&) { return IsColdSender(); });
  }

  absl::Status Start() override {
    auto identity = LoadOrCreateIdentity(files_, environment_.Random(), options_.cluster_id,
                                         options_.self.node, options_.self.address);
    if (!identity.ok()) return identity.status();
    NodeRecord self = options_.self;
    self.storage = true;
    self.replica = identity->replica;
    groups_ = MakeGroupHost(environment_, transport_, files_, *std::move(identity),
                            options_.consensus_timing, options_.consensus_limits,
                            [this](const GroupId& group) { return MakeStateMachine(group); });
    groups_->OnLeadershipChange([this](const GroupId&) { UpdateLeadership(); });
    if (absl::Status status = groups_->Start(); !status.ok()) return status;
    configuration_client_ = MakeConfigurationClient(
        environment_, transport_, self, options_.control_nodes, options_.configuration_timing);
    replicas_ = std::make_unique<JobReplicaManager>(
        environment_, configuration_client_->configuration(), self.node, options_.replicas,
        [this](const NodeId& node) { ReportEmptied(node); });
    replica_ = self.replica;
    ingress_.SetWhenCurrent([this](std::function<void()> work) {
      configuration_client_->WhenCurrent(std::move(work));
    });
    configuration_client_->OnChange(
        [this](const ConfigurationDelta& changes) { ConfigurationChanged(changes); });
    configuration_client_->Start();
    UpdateLeadership();
    return absl::OkStatus();
  }

  const Configuration& configuration() const override {
    return configuration_client_->configuration();
  }

  GroupHost& groups() override { return *groups_; }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    if (groups_ == nullptr) return;
    switch (message.kind) {
      case MessageKind::kRaft:
        return groups_->Receive(from, message);
      case MessageKind::kHeartbeatReply:
      case MessageKind::kConfigurationPush:
        return configuration_client_->Receive(from, message);
      case MessageKind::kCommand:
        return service_.Receive(from, message);
      case MessageKind::kCommandReply:
        cluster_.Receive(from, message);
        return;
      default:
        return;
    }
  }

  void Drain(std::function<void()> done) override {
    configuration_client_->SetLeaving();
    drain_until_ = environment_.Now() + kDrainTimeout;
    HandOver(std::move(done));
  }

 private:
  std::unique_ptr<StateMachine> MakeStateMachine(const GroupId& group) {
    if (group != kJobGroup) return nullptr;
    auto machine = std::make_unique<JobStateMachine>(options_.jobs);
    state_ = machine.get();
    machine->OnChange([this](JobChange change, const JobId& job) {
      if (change == JobChange::kAnnounced) loads_.OnAnnouncement(state_->announcements().back());
      if (change == JobChange::kRestored) ReplayAnnouncements();
      service_.OnStateChange(job);
      if (scheduler_ != nullptr) scheduler_->OnStateChange(change, job);
    });
    return machine;
  }

  void ReplayAnnouncements() {
    for (const AnnounceOrder& announced : state_->announcements()) {
      loads_.OnAnnouncement(announced);
    }
  }

  std::vector<NodeId> ControlNodes() const {
    std::vector<NodeId> nodes = LiveControlNodes(configuration());
    if (!nodes.empty()) return nodes;
    for (const ControlEndpoint& endpoint : options_.control_nodes) nodes.push_back(endpoint.node);
    return nodes;
  }

  void ConfigurationChanged(const ConfigurationDelta& changes) {
    for (const NodeRecord& record : changes.changed_nodes) {
      if (record.node != options_.self.node) transport_.SetAddress(record.node, record.address);
    }
    ingress_.Apply(configuration(), changes);
    OpenBootstrappedGroup();
    UpdateLeadership();
    if (!TouchesBackEnds(changes)) return;
    loads_.Update(configuration(), ingress_.routes());
    if (scheduler_ != nullptr) scheduler_->Pump();
  }

  /// Opens the group on its initial members; other nodes receive it from the leader when they join.
  void OpenBootstrappedGroup() {
    const auto group = configuration().job_groups.find(kJobGroup);
    if (group == configuration().job_groups.end() || groups_->Find(kJobGroup) != nullptr) return;
    for (const GroupMember& member : group->second.initial_members) {
      if (member.replica != replica_) continue;
      const auto opened = groups_->OpenGroup(kJobGroup, group->second.initial_members);
      if (opened.ok()) return;
      // An error of the disk may pass without a change of the configuration.
      open_timer_.Arm(kOpenRetryInterval, [this] {
        OpenBootstrappedGroup();
        UpdateLeadership();
      });
      LogEvent(EventId::kReplicaHalted, "group={} error=\"{}\"", kJobGroup,
               std::string(opened.status().message()));
    }
  }

  /// Whether this node may send requests to cold back ends: it leads with a valid lease, and the
  /// lease of the previous leader has expired.
  bool IsColdSender() const {
    const bool leads = leading_term_ != Term();
    const Duration lease = options_.configuration_timing.lease;
    return leads && configuration_client_->LeaseValid() &&
           environment_.Now() - leading_since_ >= lease;
  }

  /// Starts or stops the work of the leader when leadership changed.
  void UpdateLeadership() {
    RaftGroup* group = groups_->Find(kJobGroup);
    service_.Attach(group, group == nullptr ? nullptr : state_);
    const bool leads = group != nullptr && group->IsLeader();
    const Term term = leads ? group->CurrentTerm() : Term();
    if (term == leading_term_) return;
    leading_term_ = term;
    leading_since_ = environment_.Now();
    LogEvent(EventId::kJobLeadership, "group={} leads={} term={}", kJobGroup, leads, term);
    replicas_->SetLeading(leads ? group : nullptr);
    placement_.SetLeading(leads ? group : nullptr);
    loads_.SetLeading(leads ? group : nullptr);
    if (leads && scheduler_ == nullptr) {
      scheduler_ = std::make_unique<JobScheduler>(environment_, http_, ingress_, loads_, *state_,
                                                  *group, options_.scheduler, options_.stats);
      scheduler_->SetMayStartWork([this] { return configuration_client_->LeaseValid(); });
      scheduler_->SetPaceSupportCheck(
          [this](std::function<void(bool)> done) { CheckPaceSupport(std::move(done)); });
      loads_.OnReady([this] { scheduler_->Pump(); });
    }
    if (scheduler_ != nullptr) scheduler_->SetLeading(leads);
    if (leads) service_.ProposeReceivedEnds();
    if (options_.reports_pool_needs) pool_needs_.SetLeading(leads ? group : nullptr);
  }

  void SubmitToCluster(ClusterOperation operation, std::function<void(absl::Status)> done) {
    SubmitOperation(cluster_, std::move(operation), kCommandTimeout,
                    [done = std::move(done)](const absl::StatusOr<ClusterResult>& result) {
                      done(result.status());
                    });
  }

  /// Calls back with whether all live nodes decode the paces of engines in the group's log.
  void CheckPaceSupport(std::function<void(bool)> done) {
    cluster_.Submit(
        CommandMode::kQuery, EncodeClusterQuery({ClusterQueryKind::kFeatureLevel}), kCommandTimeout,
        [done = std::move(done)](const absl::StatusOr<std::string>& answer) {
          const auto level = answer.ok() ? DecodeMinFeatureLevel(*answer) : answer.status();
          done(level.ok() && level->level >= kEnginePacesLevel);
        });
  }

  std::vector<PoolNeed> CollectPoolNeeds() const {
    return scheduler_ == nullptr ? std::vector<PoolNeed>() : scheduler_->PoolNeeds();
  }

  void ReportEmptied(const NodeId& node) {
    if (reporting_emptied_) return;
    reporting_emptied_ = true;
    SubmitToCluster(RetireNode{{node, true}},
                    [this](const absl::Status&) { reporting_emptied_ = false; });
  }

  void HandOver(std::function<void()> done) {
    RaftGroup* group = groups_->Find(kJobGroup);
    const bool leads = group != nullptr && group->IsLeader() && group->Members().size() > 1;
    if (!leads || environment_.Now() >= drain_until_) return done();
    group->TransferLeadership([](const absl::Status&) {});
    drain_timer_.Arm(kDrainPollInterval, [this, done = std::move(done)] { HandOver(done); });
  }

  Environment& environment_;
  PeerTransport& transport_;
  FileSystem& files_;
  HttpCaller& http_;
  const StorageNodeOptions options_;
  IngressService ingress_;
  LoadScheduler loads_;
  JobService service_;
  GroupClient cluster_;
  SuspectClient suspects_;
  JobPlacementReporter placement_;
  PoolNeedReporter pool_needs_;
  ReplicaId replica_;
  std::unique_ptr<ConfigurationClient> configuration_client_;
  std::unique_ptr<GroupHost> groups_;
  std::unique_ptr<JobReplicaManager> replicas_;
  /// Owned by the group's replica.
  JobStateMachine* state_ = nullptr;
  std::unique_ptr<JobScheduler> scheduler_;
  Term leading_term_;
  TimePoint leading_since_;
  bool reporting_emptied_ = false;
  TimePoint drain_until_;
  ScopedTimer open_timer_;
  ScopedTimer drain_timer_;
};

}  // namespace

std::unique_ptr<StorageNode> MakeStorageNode(Environment& environment, PeerTransport& transport,
                                             FileSystem& files, HttpCaller& http,
                                             const BackendProtocol& protocol,
                                             const RoutingDocumentReader& reader,
                                             StorageNodeOptions options) {
  return std::make_unique<ReplicatedStorageNode>(environment, transport, files, http, protocol,
                                                 reader, std::move(options));
}

}  // namespace millstair
