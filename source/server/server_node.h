/// A node of the cluster: its storage, transport, roles and listeners.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/control_node.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "gateway/gateway_node.h"
#include "http/beast_http_caller.h"
#include "http/http_engine_client.h"
#include "http/http_server.h"
#include "http/response_memory.h"
#include "jobs/ingress_node.h"
#include "jobs/storage_node.h"
#include "runtime/runtime.h"
#include "runtime/runtime_environment.h"
#include "server/exit_code.h"
#include "server/frontend.h"
#include "settings/settings.h"
#include "storage/posix_file_system.h"
#include "transport/address_routes.h"
#include "transport/tcp_peer_transport.h"

namespace millstair {

/// Why a node did not start; kOk if it did.
struct StartError {
  ExitCode code = ExitCode::kOk;
  std::string message;
};

/// Lives on the node's serial executor, except the constructor, Start, BeginStop and Close.
class ServerNode : public PeerReceiver {
 public:
  /// `stats` outlives `runtime`, which outlives the node.
  ServerNode(Runtime& runtime, StatsRegistry& stats, ServerSettings settings);
  ~ServerNode() override;

  /// Starts all components and blocks until they run.
  StartError Start();
  /// Reports the node as not ready at once but accepts work for `timing.stop_notice`. Then drains
  /// running work, transfers leaderships and calls `done` on the executor.
  void BeginStop(std::function<void()> done);
  /// Destroys all components and blocks until it is done.
  void Close();

  void Receive(const NodeId& from, const PeerMessage& message) override;

  /// Addresses of the listeners with their actual ports. Valid once started.
  const std::string& http_address() const { return http_->address(); }
  const std::string& peer_address() const { return transport_->address(); }

 private:
  StartError StartParts();
  StartError OpenFolder();
  StartError StartTransport();
  StartError StartControl();
  /// Writes the identity of an initial member on the first start of the cluster.
  void InitializeOnFirstStart();
  void StartGateway();
  StartError StartStorage();
  StartError StartServiceListeners();
  StartError StartMetrics(const FrontendTargets& targets);
  bool ServesPlatform() const { return settings_.service_interface != "none"; }
  StartError StartListeners();
  absl::StatusOr<std::unique_ptr<HttpServer>> ListenHttp(const std::string& address,
                                                         RequestHandler& handler);

  bool Ready() const;
  void UpdateStats();
  void SetGroupGauges(GroupHost& groups);
  /// Steps of a stop, in order.
  void DrainGateway();
  void DrainControl();
  void DrainStorage();
  /// Requests whose responses are not completely sent.
  size_t RunningRequests() const;
  /// Waits until the last responses are sent or `until` has passed.
  void WaitForResponses(TimePoint until);

  Runtime& runtime_;
  StatsRegistry& stats_;
  const ServerSettings settings_;
  const std::shared_ptr<SerialExecutor> executor_;
  std::unique_ptr<RuntimeEnvironment> environment_;
  std::unique_ptr<PosixFileSystem> files_;
  std::unique_ptr<TcpPeerTransport> transport_;
  std::unique_ptr<RoutedPeerTransport> peers_;
  /// Shared with connections and calls, which may end after the node.
  std::shared_ptr<HeldBytes> held_bytes_;
  std::shared_ptr<RequestMemory> request_memory_;
  std::shared_ptr<ConnectionLimit> connection_limit_;
  std::unique_ptr<ResponseMemory> response_memory_;
  std::unique_ptr<BeastHttpCaller> caller_;
  std::unique_ptr<RoutedHttpCaller> back_ends_;
  std::unique_ptr<HttpEngineClient> engines_;
  std::unique_ptr<ControlNode> control_;
  std::unique_ptr<GatewayNode> gateway_;
  std::unique_ptr<IngressNode> ingress_;
  std::unique_ptr<StorageNode> storage_;
  std::unique_ptr<RequestHandler> service_;
  std::unique_ptr<RequestHandler> readiness_;
  std::unique_ptr<Frontend> frontend_;
  std::unique_ptr<Frontend> operators_frontend_;
  std::unique_ptr<Frontend> metrics_frontend_;
  std::unique_ptr<HttpServer> http_;
  std::unique_ptr<HttpServer> operators_http_;
  std::unique_ptr<HttpServer> service_http_;
  std::unique_ptr<HttpServer> readiness_http_;
  std::unique_ptr<HttpServer> metrics_http_;
  std::unique_ptr<ScopedTimer> stop_timer_;
  bool stopping_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace millstair
