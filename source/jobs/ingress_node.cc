#include "jobs/ingress_node.h"

#include <algorithm>
#include <utility>

#include "cluster/cluster_commands.h"
#include "cluster/cluster_replica.h"
#include "http/response_memory.h"
#include "jobs/job_group_bootstrapper.h"
#include "jobs/job_group_nodes.h"

namespace millstair {
namespace {

/// A usage report that is not confirmed by then is sent again with the same number.
constexpr Duration kClusterTimeout = std::chrono::seconds(5);
/// Memory of an answer about a job that has not come yet: a page of results, as encoded.
constexpr size_t kMaxJobAnswerBytes = 1024 * 1024;
/// A later reply is too imprecise, since the delay in each direction is unknown.
constexpr Duration kTimeQueryTimeout = std::chrono::milliseconds(400);
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(50);

}  // namespace

IngressNode::IngressNode(Environment& environment, PeerTransport& transport, HttpCaller& http,
                         const BackendProtocol& protocol, const RoutingDocumentReader& reader,
                         IngressNodeOptions options)
    : environment_(environment),
      transport_(transport),
      first_control_nodes_(options.control_nodes),
      self_(options.self.node),
      zone_(options.self.zone),
      configuration_(MakeConfigurationClient(environment, transport, options.self,
                                             options.control_nodes, options.configuration_timing)),
      cluster_(environment, transport, kClusterGroup, [this] { return ControlNodes(); }),
      suspects_(cluster_),
      usage_(
          environment, {options.self.node, options.self.incarnation, options.usage_window},
          [this](const UsageReport& report, std::function<void(bool)> done) {
            SubmitUsage(report, std::move(done));
          },
          [this](WallTime own, std::function<void(std::optional<WallTime>)> done) {
            QueryTime(own, std::move(done));
          }),
      ingress_(environment, http, protocol, reader, options.self.zone, options.stats),
      jobs_(
          environment, transport,
          [this] { return JobNodesForChanges(configuration(), kJobGroup, zone_); },
          [this] { return JobNodesForReads(configuration(), kJobGroup, zone_); }),
      job_ender_(environment, jobs_, options.stats),
      held_bytes_(options.memory == nullptr ? nullptr : options.memory->held()),
      cold_assignment_(environment, options.self.node, options.configuration_timing.lease),
      request_log_(environment, options.configuration_timing.lease, options.stats),
      ready_timer_(environment) {
  if (options.controls_admission) ingress_.EnableAdmission();
  ingress_.SetColdBound(options.cold_bound);
  ingress_.SetResponseMemory(options.memory);
  ingress_.directory().SetColdAssignmentCheck([this](const InstanceId& instance) {
    return cold_assignment_.IsAssignedToSelf(instance.value(), configuration_->ConfirmedSince());
  });
  ingress_.SetSuspectRegister(suspects_);
  ingress_.SetIsCurrent([this] { return LeaseValid(); });
  ingress_.SetConfirmationAge([this] { return ConfirmationAge(); });
  ingress_.SetWhenCurrent(
      [this](std::function<void()> work) { configuration_->WhenCurrent(std::move(work)); });
  ingress_.SetRequestStartListener(
      [this](const TenantName& tenant, TimePoint at) { usage_.OnRequestStarted(tenant, at); });
}

void IngressNode::QueryJob(const JobQuery& query,
                           std::function<void(absl::StatusOr<JobQueryAnswer>)> done) {
  if (held_bytes_ != nullptr && !held_bytes_->HasRoomFor(kMaxJobAnswerBytes)) {
    return done(absl::ResourceExhaustedError("memory-short"));
  }
  const auto hold = std::make_shared<HeldBytes::Hold>(held_bytes_, kMaxJobAnswerBytes);
  jobs_.Query(query, [hold, done = std::move(done)](absl::StatusOr<JobQueryAnswer> answer) {
    // The response counts by itself.
    hold->Set(0);
    done(std::move(answer));
  });
}

void IngressNode::Start() {
  configuration_->OnChange(
      [this](const ConfigurationDelta& changes) { ConfigurationChanged(changes); });
  configuration_->OnIsolationChange([this](bool isolated) {
    if (on_isolation_change_) on_isolation_change_(isolated);
  });
  configuration_->Start();
  usage_.Start();
  CheckReady();
}

bool IngressNode::StopsWithin(Duration limit) const {
  return stops_at_ && environment_.Now() + limit > *stops_at_;
}

void IngressNode::SetLeaving(TimePoint until) {
  stops_at_ = until;
  configuration_->SetLeaving();
  usage_.SetLeaving();
}

std::vector<NodeId> IngressNode::ControlNodes() const {
  std::vector<NodeId> nodes = LiveControlNodes(configuration());
  if (!nodes.empty()) {
    // Any control node relays commands to the leader, so the gateways spread over them.
    const size_t first = std::hash<NodeId>()(self_) % nodes.size();
    std::rotate(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(first), nodes.end());
    return nodes;
  }
  for (const ControlEndpoint& endpoint : first_control_nodes_) nodes.push_back(endpoint.node);
  return nodes;
}

void IngressNode::SubmitUsage(const UsageReport& report, std::function<void(bool)> done) {
  SubmitOperation(cluster_, AddUsage{report}, kClusterTimeout,
                  [done = std::move(done)](const absl::StatusOr<ClusterResult>& result) {
                    done(result.ok() && result->code == ClusterResultCode::kOk);
                  });
}

void IngressNode::QueryTime(WallTime own, std::function<void(std::optional<WallTime>)> done) {
  ClusterQuery query;
  query.kind = ClusterQueryKind::kTime;
  query.node = self_;
  query.wall = own;
  cluster_.Submit(CommandMode::kQuery, EncodeClusterQuery(query), kTimeQueryTimeout,
                  [done = std::move(done)](const absl::StatusOr<std::string>& answer) {
                    const auto time = answer.ok() ? DecodeAgreedTime(*answer) : answer.status();
                    done(time.ok() ? std::optional(*time) : std::nullopt);
                  });
}

void IngressNode::ConfigurationChanged(const ConfigurationDelta& changes) {
  for (const NodeRecord& record : changes.changed_nodes) {
    if (record.node != self_ && record.storage) transport_.SetAddress(record.node, record.address);
  }
  if (TouchesNodes(changes)) cold_assignment_.Update(configuration());
  ingress_.Apply(configuration(), changes);
}

void IngressNode::CheckReady() {
  ready_ = ingress_.routes() != nullptr && configuration_->LeaseValid();
  if (!ready_) ready_timer_.Arm(kReadyPollInterval, [this] { CheckReady(); });
}

Admission IngressNode::Admit(const Route* route, std::optional<std::string_view> key) const {
  const RouteTable* routes = ingress_.routes();
  if (routes == nullptr) return {AdmissionVerdict::kUnsure, {}, kRetryWhenUnconfigured};
  if (!routes->tenants) return {};
  const Access access = routes->CheckAccess(key, route != nullptr && route->is_public);
  if (access.verdict == AccessVerdict::kAllowed) {
    const bool by_key = access.tenant != TenantName();
    if (by_key && !ready_) return {AdmissionVerdict::kUnsure, {}, kRetryWhenUnconfigured};
    return {AdmissionVerdict::kAllowed, access.tenant, Duration(0)};
  }
  const bool sure = ready_ && LeaseValid() && !ingress_.NewestUnreadable();
  if (!sure) return {AdmissionVerdict::kUnsure, {}, kRetryWhenUnconfigured};
  return {AdmissionVerdict::kUnknownKey, {}, Duration(0)};
}

RequestArrival IngressNode::NewArrival() const {
  RequestArrival arrival;
  arrival.confirmation_age = ConfirmationAge();
  arrival.confirmed_by = configuration_->ConfirmedBy();
  arrival.revision = configuration().revision;
  arrival.control_silence = configuration_->ControlSilence();
  return arrival;
}

void IngressNode::WhenCurrent(std::function<void(Duration waited)> work) {
  configuration_->WhenCurrent([this, received_at = environment_.Now(), work = std::move(work)] {
    work(environment_.Now() - received_at);
  });
}

void IngressNode::Receive(const NodeId& from, const PeerMessage& message) {
  if (message.kind == MessageKind::kCommandReply) {
    if (!cluster_.Receive(from, message)) jobs_.Receive(from, message);
    return;
  }
  configuration_->Receive(from, message);
}

}  // namespace millstair
