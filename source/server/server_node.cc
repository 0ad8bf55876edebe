#include "server/server_node.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/event_log.h"
#include "duties/usage_report_task.h"
#include "http/json_body.h"
#include "jobs/job_group_bootstrapper.h"
#include "platform/platform.h"
#include "rollout/stream_factory.h"
#include "scaling/scale_task.h"
#include "server/metrics_page.h"
#include "server/node_options.h"
#include "weights/weight_target_task.h"

namespace millstair {
namespace {

/// Freed blocks above this size are returned to the system at once. By default glibc raises the
/// size to up to 32 MiB as large blocks are freed, and keeps blocks below it.
constexpr int kMmapThresholdBytes = 256 * 1024;

constexpr Duration kResponsePollInterval = std::chrono::milliseconds(20);
/// How long a stopping node waits for its last responses to be sent.
constexpr Duration kResponseDrainTimeout = std::chrono::seconds(10);

/// Derived from the wall clock, so that it increases with each start unless the clock is set back;
/// see Incarnation.
Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(
      static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

/// Number of descriptors that the process may open; 0 if that is not known.
uint64_t DescriptorLimit(const ServerSettings& settings) {
  rlimit limit{};
  const bool known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const uint64_t of_system = known ? limit.rlim_cur : 0;
  const uint64_t of_settings = settings.limits.descriptors;
  if (of_settings == 0 || of_system == 0) return std::max(of_settings, of_system);
  return std::min(of_settings, of_system);
}

StartError MakeStartError(ExitCode code, const absl::Status& status) {
  return {code, std::string(status.message())};
}

}  // namespace

ServerNode::ServerNode(Runtime& runtime, StatsRegistry& stats, ServerSettings settings)
    : runtime_(runtime),
      stats_(stats),
      settings_(std::move(settings)),
      executor_(runtime.NewExecutor()) {}

ServerNode::~ServerNode() { Close(); }

StartError ServerNode::Start() {
  StartError error;
  executor_->PostAndWait([this, &error] { error = StartParts(); });
  return error;
}

StartError ServerNode::StartParts() {
  environment_ = std::make_unique<RuntimeEnvironment>(runtime_, executor_);
  stop_timer_ = std::make_unique<ScopedTimer>(*environment_);
  if (settings_.limits.process_memory > 0) ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  held_bytes_ = std::make_shared<HeldBytes>(HeldBytesOptionsOf(settings_), &stats_);
  response_memory_ = std::make_unique<ResponseMemory>(*environment_, held_bytes_);
  connection_limit_ = std::make_shared<ConnectionLimit>(
      ConnectionLimitOptionsOf(settings_, DescriptorLimit(settings_)), &stats_);
  request_memory_ = std::make_shared<RequestMemory>(RequestMemoryOptionsOf(settings_), &stats_);
  if (settings_.limits.process_memory > 0) {
    SetJsonMemory([for_clients = MemoryForClients(settings_), held = held_bytes_,
                   requests = request_memory_, connections = connection_limit_] {
      const size_t used =
          held->total() + requests->total() + connections->taken() * kConnectionBytes;
      return for_clients - std::min(for_clients, used);
    });
  }
  caller_ = std::make_unique<BeastHttpCaller>(runtime_, executor_, HttpCallerOptionsOf(settings_),
                                              &stats_);
  back_ends_ = std::make_unique<RoutedHttpCaller>(*caller_, AddressRoutes(settings_.routes));
  engines_ = std::make_unique<HttpEngineClient>(*environment_, *back_ends_);
  StartError error = OpenFolder();
  if (error.code == ExitCode::kOk) error = StartTransport();
  if (error.code == ExitCode::kOk) error = StartControl();
  if (error.code == ExitCode::kOk) error = StartStorage();
  if (error.code != ExitCode::kOk) return error;
  StartGateway();
  error = StartListeners();
  if (error.code == ExitCode::kOk) error = StartServiceListeners();
  return error;
}

StartError ServerNode::OpenFolder() {
  if (!settings_.control && !settings_.storage) return {};
  BackgroundExecutor background;
  background.run = [this](std::function<void()> work) {
    runtime_.RunInBackground(std::move(work));
  };
  background.post_back = [executor = executor_](std::function<void()> work) {
    executor->Post(std::move(work));
  };
  auto files = PosixFileSystem::Open(settings_.data_folder, std::move(background));
  if (files.ok()) {
    files_ = *std::move(files);
    return {};
  }
  const bool locked = files.status().code() == absl::StatusCode::kFailedPrecondition;
  return MakeStartError(locked ? ExitCode::kFolderLocked : ExitCode::kFolderUnusable,
                        files.status());
}

StartError ServerNode::StartTransport() {
  auto transport = TcpPeerTransport::Listen(
      runtime_, executor_, TransportOptionsOf(settings_, NewIncarnation()), &stats_);
  if (!transport.ok()) return MakeStartError(ExitCode::kAddressTaken, transport.status());
  transport_ = *std::move(transport);
  transport_->SetReceiver(this);
  peers_ = std::make_unique<RoutedPeerTransport>(*transport_, AddressRoutes(settings_.routes));
  return {};
}

StartError ServerNode::StartControl() {
  if (!settings_.control) return {};
  if (!settings_.seeds.empty()) InitializeOnFirstStart();
  const NodeRecord self = NodeRecordOf(settings_, NewIncarnation());
  control_ =
      MakeControlNode(*environment_, *peers_, *files_, *back_ends_,
                      MakeStreamFactory(*environment_, *peers_), ControlOptionsOf(settings_, self));
  control_->AddLeaderTask(MakeWeightTargetTask(*environment_, [this](ClusterCommand command) {
    control_->Propose(std::move(command), [](const absl::StatusOr<ClusterResult>&) {});
  }));
  if (ServesPlatform()) {
    control_->AddLeaderTask(MakeJobGroupBootstrapper(
        *environment_, JobBootstrapperOptionsOf(settings_), [this](ClusterCommand command) {
          control_->Propose(std::move(command), [](const absl::StatusOr<ClusterResult>&) {});
        }));
  }
  const bool reports_usage =
      !settings_.metering_platform.empty() && settings_.timing.usage_window > Duration(0);
  if (ServesPlatform() && reports_usage) {
    control_->AddLeaderTask(MakeUsageReportTask(*environment_, *back_ends_,
                                                platform::UsageReports(), *control_,
                                                UsageOptionsOf(settings_)));
  }
  if (ServesPlatform() && settings_.ScalesPools()) {
    ScaleOptions options = ScaleOptionsOf(settings_);
    options.stats = &stats_;
    control_->AddLeaderTask(MakeScaleTask(*environment_, *back_ends_, platform::ServerOrders(),
                                          platform::Routing(), *control_, std::move(options)));
  }
  const absl::Status started = control_->Start();
  if (started.ok()) return {};
  const bool damaged = started.code() == absl::StatusCode::kDataLoss;
  return MakeStartError(damaged ? ExitCode::kDataDamaged : ExitCode::kFailure, started);
}

void ServerNode::InitializeOnFirstStart() {
  const auto& founders = settings_.founders;
  const bool is_initial_member =
      settings_.bootstrap == "true" &&
      std::find(founders.begin(), founders.end(), settings_.node) != founders.end();
  if (!is_initial_member) return;
  // Fails if the folder has an identity already, which is the case after the first start.
  const absl::Status written = InitializeInitialMember(
      *files_, settings_.cluster, NodeId(settings_.node), settings_.peer_address);
  if (written.ok()) LogEvent(EventId::kFounderInitialized, "node={}", settings_.node);
}

StartError ServerNode::StartStorage() {
  if (!settings_.storage) return {};
  const NodeRecord self = NodeRecordOf(settings_, NewIncarnation());
  StorageNodeOptions options = StorageOptionsOf(settings_, self);
  options.stats = &stats_;
  storage_ = MakeStorageNode(*environment_, *peers_, *files_, *back_ends_, platform::Servers(),
                             platform::Routing(), std::move(options));
  const absl::Status started = storage_->Start();
  if (started.ok()) return {};
  const bool damaged = started.code() == absl::StatusCode::kDataLoss;
  return MakeStartError(damaged ? ExitCode::kDataDamaged : ExitCode::kFailure, started);
}

StartError ServerNode::StartServiceListeners() {
  if (!ServesPlatform()) return {};
  if (ingress_ != nullptr) {
    service_ = platform::MakeIngressHandler(*ingress_);
    ingress_->OnIsolationChange([this](bool isolated) {
      if (service_http_ != nullptr) service_http_->SetCloseAfterResponse(isolated);
    });
  }
  if (control_ != nullptr && ingress_ == nullptr)
    service_ = platform::MakeControlHandler(*control_);
  if (service_ != nullptr) {
    auto http = ListenHttp(settings_.service_listen, *service_);
    if (!http.ok()) return MakeStartError(ExitCode::kAddressTaken, http.status());
    service_http_ = *std::move(http);
  }
  if (settings_.service_readiness.empty()) return {};
  readiness_ = platform::MakeReadinessHandler([this] { return Ready(); });
  auto http = ListenHttp(settings_.service_readiness, *readiness_);
  if (!http.ok()) return MakeStartError(ExitCode::kAddressTaken, http.status());
  readiness_http_ = *std::move(http);
  return {};
}

void ServerNode::StartGateway() {
  if (!settings_.gateway) return;
  const NodeRecord self = NodeRecordOf(settings_, NewIncarnation());
  if (ServesPlatform()) {
    IngressNodeOptions ingress_options = IngressOptionsOf(settings_, self);
    ingress_options.stats = &stats_;
    ingress_options.memory = response_memory_.get();
    ingress_ =
        std::make_unique<IngressNode>(*environment_, *peers_, *back_ends_, platform::Servers(),
                                      platform::Routing(), std::move(ingress_options));
    ingress_->Start();
    return;
  }
  GatewayNodeOptions options = GatewayOptionsOf(settings_, self);
  options.stats = &stats_;
  gateway_ = MakeGatewayNode(*environment_, *peers_, *engines_, *back_ends_, std::move(options));
  gateway_->Start();
}

StartError ServerNode::StartListeners() {
  FrontendTargets targets;
  targets.ready = [this] { return Ready(); };
  targets.update_stats = [this] { UpdateStats(); };
  FrontendTargets operators_targets = targets;
  targets.gateway = gateway_.get();
  operators_targets.operators = control_.get();
  const bool separate_listener = !settings_.http_operators.empty() && control_ != nullptr;
  if (!separate_listener) targets.operators = control_.get();
  frontend_ = std::make_unique<Frontend>(targets, stats_);
  auto http = ListenHttp(settings_.http_listen, *frontend_);
  if (!http.ok()) return MakeStartError(ExitCode::kAddressTaken, http.status());
  http_ = *std::move(http);
  if (StartError error = StartMetrics(targets); error.code != ExitCode::kOk) return error;
  if (!separate_listener) return {};
  operators_frontend_ = std::make_unique<Frontend>(operators_targets, stats_);
  auto operators_http = ListenHttp(settings_.http_operators, *operators_frontend_);
  if (!operators_http.ok()) return MakeStartError(ExitCode::kAddressTaken, operators_http.status());
  operators_http_ = *std::move(operators_http);
  return {};
}

StartError ServerNode::StartMetrics(const FrontendTargets& targets) {
  if (settings_.metrics.empty()) return {};
  const size_t slash = settings_.metrics.find('/');
  const std::string ip = settings_.peer_listen.substr(0, settings_.peer_listen.rfind(':'));
  FrontendTargets metrics_targets;
  metrics_targets.ready = targets.ready;
  metrics_targets.update_stats = targets.update_stats;
  metrics_targets.metrics_path = settings_.metrics.substr(slash);
  metrics_frontend_ = std::make_unique<Frontend>(metrics_targets, stats_);
  auto http = ListenHttp(ip + ":" + settings_.metrics.substr(0, slash), *metrics_frontend_);
  if (!http.ok()) return MakeStartError(ExitCode::kAddressTaken, http.status());
  metrics_http_ = *std::move(http);
  return {};
}

absl::StatusOr<std::unique_ptr<HttpServer>> ServerNode::ListenHttp(const std::string& address,
                                                                   RequestHandler& handler) {
  HttpServerOptions options = HttpServerOptionsOf(settings_);
  options.held_bytes = held_bytes_;
  options.request_memory = request_memory_;
  options.connections = connection_limit_;
  if (ServesPlatform()) options.request_id_header = platform::RequestIdHeader();
  return HttpServer::Listen(runtime_, executor_, address, handler, std::move(options), &stats_);
}

void ServerNode::Receive(const NodeId& from, const PeerMessage& message) {
  // Each role ignores message kinds of the others.
  if (control_ != nullptr) control_->Receive(from, message);
  if (gateway_ != nullptr) gateway_->Receive(from, message);
  if (ingress_ != nullptr) ingress_->Receive(from, message);
  if (storage_ != nullptr) storage_->Receive(from, message);
}

bool ServerNode::Ready() const {
  if (stopping_) return false;
  if (gateway_ != nullptr && !gateway_->Ready()) return false;
  if (ingress_ != nullptr && !ingress_->Ready()) return false;
  return control_ == nullptr || control_->Ready();
}

void ServerNode::UpdateStats() {
  UpdateProcessStats(stats_);
  stats_.NewGauge({"millstair_ready", "1 while the node takes work."}).Set(Ready() ? 1 : 0);
  if (gateway_ != nullptr) {
    stats_.NewGauge({"millstair_configuration_revision", "Revision that the gateway holds."})
        .Set(static_cast<double>(gateway_->configuration().revision.value()));
    stats_.NewGauge({"millstair_lease_valid", "1 while the gateway may give out new work."})
        .Set(gateway_->Ready() ? 1 : 0);
  }
  if (ingress_ != nullptr) {
    const RouteTable* routes = ingress_->ingress().routes();
    stats_.NewGauge({"millstair_configuration_revision", "Revision that the gateway holds."})
        .Set(static_cast<double>(ingress_->configuration().revision.value()));
    stats_.NewGauge({"millstair_routing_version", "Version of the routes in force; 0 is none."})
        .Set(routes == nullptr ? 0 : static_cast<double>(routes->version));
    stats_.NewGauge({"millstair_lease_valid", "1 while the gateway's routes are proven fresh."})
        .Set(ingress_->LeaseValid() ? 1 : 0);
    const auto proof_age = ingress_->ConfirmationAge();
    stats_
        .NewGauge({"millstair_proof_age_seconds",
                   "Since the gateway's routes were last known to be the newest; -1 is never."})
        .Set(proof_age ? ToSeconds(*proof_age) : -1);
  }
  if (storage_ != nullptr) SetGroupGauges(storage_->groups());
  if (control_ == nullptr) return;
  SetGroupGauges(control_->groups());
  stats_.NewGauge({"millstair_cluster_revision", "Revision applied by this control node."})
      .Set(static_cast<double>(control_->configuration().revision.value()));
  stats_
      .NewGauge({"millstair_confirmation_read_seconds",
                 "Age of the read that confirms heartbeats; 0 if none is in progress."})
      .Set(ToSeconds(control_->ConfirmationReadAge()));
}

void ServerNode::SetGroupGauges(GroupHost& groups) {
  for (RaftGroup* group : groups.Groups()) {
    const std::string name = group->id().value();
    stats_.NewGauge({"millstair_raft_leader", "1 on the group's leader.", "group", name})
        .Set(group->IsLeader() ? 1 : 0);
    stats_.NewGauge({"millstair_raft_term", "Term of the group.", "group", name})
        .Set(static_cast<double>(group->CurrentTerm().value()));
    stats_.NewGauge({"millstair_raft_applied_index", "Last applied entry.", "group", name})
        .Set(static_cast<double>(group->AppliedIndex().value()));
    stats_
        .NewGauge({"millstair_raft_stopped",
                   "1 while an error, such as of the disk, keeps the replica out of its group.",
                   "group", name})
        .Set(group->Failure().ok() ? 0 : 1);
  }
}

void ServerNode::BeginStop(std::function<void()> done) {
  executor_->Post([this, done = std::move(done)]() mutable {
    if (stopping_) return;
    stopping_ = true;
    on_stopped_ = std::move(done);
    stop_timer_->Arm(settings_.timing.stop_notice, [this] { DrainGateway(); });
  });
}

void ServerNode::DrainGateway() {
  http_->BeginDrain();
  if (operators_http_ != nullptr) operators_http_->BeginDrain();
  if (service_http_ != nullptr) service_http_->BeginDrain();
  if (ingress_ != nullptr) {
    ingress_->SetLeaving(environment_->Now() + settings_.timing.drain_limit);
  }
  if (gateway_ == nullptr) return DrainControl();
  gateway_->Drain([this] { DrainControl(); });
}

void ServerNode::DrainControl() {
  if (control_ == nullptr) return DrainStorage();
  control_->Drain([this] { DrainStorage(); });
}

void ServerNode::DrainStorage() {
  const auto wait = [this] { WaitForResponses(environment_->Now() + kResponseDrainTimeout); };
  if (storage_ == nullptr) return wait();
  storage_->Drain(wait);
}

size_t ServerNode::RunningRequests() const {
  size_t running = http_->running();
  if (operators_http_ != nullptr) running += operators_http_->running();
  if (service_http_ != nullptr) running += service_http_->running();
  return running;
}

void ServerNode::WaitForResponses(TimePoint until) {
  if (RunningRequests() == 0 || environment_->Now() >= until) {
    const std::function<void()> done = std::move(on_stopped_);
    return done();
  }
  stop_timer_->Arm(kResponsePollInterval, [this, until] { WaitForResponses(until); });
}

void ServerNode::Close() {
  executor_->PostAndWait([this] {
    http_.reset();
    operators_http_.reset();
    service_http_.reset();
    readiness_http_.reset();
    metrics_http_.reset();
    service_.reset();
    ingress_.reset();
    storage_.reset();
    gateway_.reset();
    control_.reset();
    engines_.reset();
    back_ends_.reset();
    caller_.reset();
    response_memory_.reset();
    peers_.reset();
    transport_.reset();
    files_.reset();
    stop_timer_.reset();
    environment_.reset();
  });
  executor_->Stop();
}

}  // namespace millstair
