/// The gateway role of a node whose back ends register themselves: requests of clients go by the
/// routes of the operator's whole configuration, batch jobs to the leader of their group.
#pragma once

#include <memory>
#include <vector>

#include "cluster/configuration_client.h"
#include "cluster/group_client.h"
#include "cluster/suspect_client.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "ingress/cold_backend_assignment.h"
#include "ingress/ingress_service.h"
#include "jobs/job_client.h"
#include "metering/usage_counter.h"

namespace millstair {

struct IngressNodeOptions {
  NodeRecord self;
  std::vector<ControlEndpoint> control_nodes;
  ConfigurationTiming configuration_timing;
  /// Outlives the node; may be null.
  StatsRegistry* stats = nullptr;
  /// Length of the windows in which requests are metered; 0 meters none.
  Duration usage_window{0};
  ColdBound cold_bound;
};

enum class AdmissionVerdict : uint8_t {
  kAllowed,
  kUnknownKey,  ///< no tenant holds the key, by a configuration that is proven fresh
  kUnsure,      ///< the configuration held may be too old to tell; not run
};

/// What this node says to a caller.
struct Admission {
  AdmissionVerdict verdict = AdmissionVerdict::kAllowed;
  /// Who calls; empty where nobody is known and none is needed.
  TenantName tenant;
  /// When a caller may come back whom this node could not judge.
  Duration retry_after{0};
};

/// Lives on the node's serial executor. Keeps no state that has to survive.
class IngressNode : public PeerReceiver {
 public:
  IngressNode(Environment& environment, PeerTransport& transport, HttpCaller& http,
              const BackendProtocol& protocol, const RoutingDocumentReader& reader,
              IngressNodeOptions options);

  void Start();
  /// The routes are known, were proven fresh in this life, and control nodes are heard. A gateway
  /// that hears none forwards what still comes by the routes it has, but others serve callers by
  /// routes that they can prove; where the cluster has no majority all stay ready.
  bool Ready() const { return ready_ && !configuration_->CutOff(); }
  /// Hears when control nodes fall silent for this node alone, and when they are heard again.
  void OnCutOff(std::function<void(bool cut_off)> callback) { on_cut_off_ = std::move(callback); }
  void SetLeaving();
  void Receive(const NodeId& from, const PeerMessage& message) override;

  /// Whether whoever holds `key` may call `route`; a null route is a call about a batch job, which
  /// needs a key wherever tenants are configured. A node that has just started may have been handed
  /// an old configuration, in which a key that was taken away still stands: it admits nobody by key
  /// before its configuration was proven fresh once. One that is out of touch refuses no key for
  /// good, since the key may be newer than its configuration.
  Admission Admit(const Route* route, std::optional<std::string_view> key) const;

  /// Whether the configuration held is proven fresh, so that WhenCurrent would not wait.
  bool IsCurrent() const { return LeaseValid(); }
  /// Runs `work` once the configuration is proven fresh, or known not to be provable now; see
  /// ConfigurationClient. `waited`: since the call.
  void WhenCurrent(std::function<void(Duration waited)> work);

  IngressService& ingress() { return ingress_; }
  JobClient& jobs() { return jobs_; }
  const Configuration& configuration() const { return configuration_->configuration(); }
  bool LeaseValid() const { return configuration_->LeaseValid(); }
  /// How long ago the routes held were last known to be the newest; nothing if they never were.
  std::optional<Duration> ProofAge() const { return configuration_->ProofAge(); }

 private:
  void ConfigurationChanged(const ConfigurationDelta& changes);
  void CheckReady();
  std::vector<NodeId> ControlNodes() const;
  void SubmitUsage(const UsageReport& report, std::function<void(bool)> done);
  void AskTime(WallTime own, std::function<void(std::optional<WallTime>)> done);

  Environment& environment_;
  PeerTransport& transport_;
  const std::vector<ControlEndpoint> first_control_nodes_;
  const NodeId self_;
  const Zone zone_;
  std::unique_ptr<ConfigurationClient> configuration_;
  GroupClient cluster_;
  SuspectClient suspects_;
  /// Outlives the requests, which are metered also when they are dropped.
  UsageCounter usage_;
  IngressService ingress_;
  JobClient jobs_;
  /// Which back ends that are slow after their start fall to this gateway.
  ColdBackendAssignment cold_turns_;
  bool ready_ = false;
  std::function<void(bool)> on_cut_off_;
  ScopedTimer ready_timer_;
};

}  // namespace millstair
