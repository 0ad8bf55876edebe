/// The gateway role of a node: forwards client requests to registered back ends by the routes of
/// the configuration, and batch jobs to the leader of their group.
#pragma once

#include <memory>
#include <vector>

#include "cluster/configuration_client.h"
#include "cluster/group_client.h"
#include "cluster/suspect_client.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "http/held_bytes.h"
#include "ingress/cold_backend_assignment.h"
#include "ingress/ingress_service.h"
#include "ingress/request_log.h"
#include "jobs/job_client.h"
#include "jobs/job_ender.h"
#include "metering/usage_counter.h"

namespace millstair {

struct IngressNodeOptions {
  NodeRecord self;
  std::vector<ControlEndpoint> control_nodes;
  ConfigurationTiming configuration_timing;
  /// Must outlive the node; may be null.
  StatsRegistry* stats = nullptr;
  /// Length of the metering windows; 0 disables metering.
  Duration usage_window{0};
  ColdBound cold_bound;
  /// Requests are admitted per service: see ingress/.
  bool controls_admission = false;
  /// Bounds the memory of buffered responses; must outlive the node; may be null.
  ResponseMemory* memory = nullptr;
};

enum class AdmissionVerdict : uint8_t {
  kAllowed,
  kUnknownKey,  ///< no tenant has the key, according to a configuration confirmed current
  kUnsure,      ///< the configuration held may be too old to decide; the request is not run
};

struct Admission {
  AdmissionVerdict verdict = AdmissionVerdict::kAllowed;
  /// The calling tenant; empty if none is known and none is required.
  TenantName tenant;
  /// Delay before a caller with verdict kUnsure may retry.
  Duration retry_after{0};
};

/// Lives on the node's serial executor. Has no persistent state.
class IngressNode : public PeerReceiver {
 public:
  IngressNode(Environment& environment, PeerTransport& transport, HttpCaller& http,
              const BackendProtocol& protocol, const RoutingDocumentReader& reader,
              IngressNodeOptions options);

  void Start();
  /// Whether the routes are known, were confirmed current since the start, and this node is not
  /// isolated from the control nodes. An isolated gateway still forwards requests by the routes it
  /// has. Where the cluster has no majority all gateways stay ready.
  bool Ready() const { return ready_ && !configuration_->IsIsolated(); }
  /// `callback` is called when this node becomes isolated from the control nodes, and when it no
  /// longer is.
  void OnIsolationChange(std::function<void(bool isolated)> callback) {
    on_isolation_change_ = std::move(callback);
  }
  /// This node stops; requests that still run at `until` are cut.
  void SetLeaving(TimePoint until);
  /// Whether a request that may take `limit` may be cut by the stop of this node.
  bool StopsWithin(Duration limit) const;
  void Receive(const NodeId& from, const PeerMessage& message) override;

  /// Whether a caller with `key` may call `route`; a null route is a call about a batch job, which
  /// needs a key wherever tenants are configured. A node that has just started may have an old
  /// configuration with a revoked key, so it admits nobody by key until its configuration was
  /// confirmed current once. Without a current configuration it rejects no key permanently, since
  /// the key may be newer.
  Admission Admit(const Route* route, std::optional<std::string_view> key) const;

  /// Whether callers need a key by the configuration held; true if there is none.
  bool RequiresKeys() const {
    const RouteTable* routes = ingress_.routes();
    return routes == nullptr || routes->tenants.has_value();
  }
  /// Whether the configuration held is confirmed current, so that WhenCurrent would not wait.
  bool IsCurrent() const { return LeaseValid(); }
  /// Runs `work` once the configuration is confirmed current, or known not to be confirmable now;
  /// see ConfigurationClient. `waited` is the time since the call.
  void WhenCurrent(std::function<void(Duration waited)> work);

  IngressService& ingress() { return ingress_; }
  JobClient& jobs() { return jobs_; }
  /// Reads from a job. The memory of the answer is held until it is there; ResourceExhausted if it
  /// does not suffice.
  void QueryJob(const JobQuery& query, std::function<void(absl::StatusOr<JobQueryAnswer>)> done);
  /// Ends a job of the tenant. `done` gets kNotFound if it has no such job.
  void EndJob(const EndJob& end, std::function<void(absl::StatusOr<JobResultCode>)> done) {
    job_ender_.End(end, std::move(done));
  }
  const Configuration& configuration() const { return configuration_->configuration(); }
  bool LeaseValid() const { return configuration_->LeaseValid(); }
  /// Time since the configuration held was last confirmed current; nullopt if it never was.
  std::optional<Duration> ConfirmationAge() const { return configuration_->ConfirmationAge(); }
  /// State of this node for the log entry of a request that arrives now.
  RequestArrival NewArrival() const;
  RequestLog& request_log() { return request_log_; }

 private:
  void ConfigurationChanged(const ConfigurationDelta& changes);
  void CheckReady();
  std::vector<NodeId> ControlNodes() const;
  void SubmitUsage(const UsageReport& report, std::function<void(bool)> done);
  void QueryTime(WallTime own, std::function<void(std::optional<WallTime>)> done);

  Environment& environment_;
  PeerTransport& transport_;
  /// When this node ends; none unless it is stopping.
  std::optional<TimePoint> stops_at_;
  const std::vector<ControlEndpoint> first_control_nodes_;
  const NodeId self_;
  const Zone zone_;
  std::unique_ptr<ConfigurationClient> configuration_;
  GroupClient cluster_;
  SuspectClient suspects_;
  /// Declared before `ingress_`, whose requests are metered even when dropped.
  UsageCounter usage_;
  IngressService ingress_;
  JobClient jobs_;
  JobEnder job_ender_;
  /// May be null.
  const std::shared_ptr<HeldBytes> held_bytes_;
  /// Assigns each cold back end to one gateway.
  ColdBackendAssignment cold_assignment_;
  RequestLog request_log_;
  bool ready_ = false;
  std::function<void(bool)> on_isolation_change_;
  ScopedTimer ready_timer_;
};

}  // namespace millstair
