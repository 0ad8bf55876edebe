/// Forwards client requests to registered back ends by the operator's routing configuration.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cluster/configuration.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/stats.h"
#include "ingress/forward_flow.h"
#include "ingress/stream_flow.h"

namespace millstair {

/// When a caller may retry at a node whose configuration is missing or not confirmed. A node is
/// usually confirmed after one or two heartbeats, and the retry may reach another node.
inline constexpr Duration kRetryWhenUnconfigured = std::chrono::milliseconds(250);

/// Lives on the node's serial executor.
class IngressService {
 public:
  using FlowId = uint64_t;
  using Callback = std::function<void(ForwardResult)>;

  IngressService(Environment& environment, HttpCaller& http, const BackendProtocol& protocol,
                 const RoutingDocumentReader& reader, Zone own_zone,
                 StatsRegistry* stats = nullptr);

  /// Called when a request starts to run.
  void SetRequestStartListener(RequestStartListener listener) {
    context_.on_request_started = std::move(listener);
  }
  /// Whether the local routes are confirmed as current. While they are not, a request that matches
  /// no route is answered as not configured, since a newer configuration may have its route.
  void SetIsCurrent(std::function<bool()> is_current) { is_current_ = std::move(is_current); }
  /// Runs work that uses the configuration once it is confirmed as current, or once it is known
  /// that it can't be confirmed now.
  void SetWhenCurrent(WhenCurrent when_current) { context_.when_current = std::move(when_current); }
  /// Time since the local configuration was last confirmed as the newest; for logs.
  void SetConfirmationAge(std::function<std::optional<Duration>()> age) {
    context_.confirmation_age = std::move(age);
  }
  /// Bounds the memory of buffered responses; `memory` outlives the service.
  void SetResponseMemory(ResponseMemory* memory) { context_.memory = memory; }
  /// Where crashes of back ends are reported; outlives the service.
  void SetSuspectRegister(SuspectRegister& suspects) { guard_.SetRegister(&suspects); }
  RequestGuard& guard() { return guard_; }
  /// Limits what is sent to overloaded back ends, and queues or rejects the rest. Off by default;
  /// to be called before the first request.
  void EnableAdmission();
  /// Limits on requests to cold back ends.
  void SetColdBound(ColdBound bound) { cold_bound_ = bound; }
  /// Applies a complete configuration.
  void Update(const Configuration& configuration);
  /// Applies `changes`, which led to `configuration`.
  void Apply(const Configuration& configuration, const ConfigurationDelta& changes);

  /// Null before the first routing configuration.
  const RouteTable* routes() const { return routes_ ? &*routes_ : nullptr; }
  /// Whether the newest routing document could not be parsed, so that older routes are in use.
  bool NewestUnreadable() const { return newest_unreadable_; }
  BackendDirectory& directory() { return directory_; }
  const BackendProtocol& protocol() const { return context_.protocol; }

  /// `done` is called once unless the request is cancelled, and never before Forward returns.
  FlowId Forward(ForwardRequest request, Callback done);
  /// The same for a request of a streaming route; `sink` outlives the flow.
  FlowId ForwardStream(ForwardRequest request, StreamSink& sink,
                       std::function<void(StreamEnd)> done);
  /// Pauses or resumes reading a stream from its back end; no effect once it has ended.
  void SetStreamPaused(FlowId flow, bool paused);
  /// Cancels a request whose client has disconnected. Returns its attempts and routes for the log;
  /// nullopt if it has ended.
  std::optional<ForwardResult> Cancel(FlowId flow);

 private:
  /// A flow and the routes that it uses.
  template <class Flow>
  struct Running {
    std::unique_ptr<Flow> flow;
    uint64_t routing_version = 0;
    uint64_t routing_digest = 0;
  };

  /// Destroys a flow in progress.
  template <class Flow>
  static std::optional<ForwardResult> End(std::map<FlowId, Running<Flow>>& running, FlowId flow);
  /// The route with the priority of the caller's tenant.
  Route RouteFor(const Route& route, const TenantName& tenant) const;
  void UpdateRoutes(const RoutingDocument& document, Revision revision);
  void Count(const ForwardResult& result, Duration took);
  void FinishSoon(ForwardOutcome outcome, std::string reason, Callback done);
  /// Ends a request that matches no route.
  void FinishUnrouted(Callback done);

  Environment& environment_;
  const RoutingDocumentReader& reader_;
  StatsRegistry* const stats_;
  BackendDirectory directory_;
  RequestGuard guard_;
  /// Null where admission is off. Declared before the flows, whose requests may be queued in it.
  std::unique_ptr<AdmissionControl> admission_;
  ForwardContext context_;
  std::optional<RouteTable> routes_;
  bool newest_unreadable_ = false;
  std::function<bool()> is_current_ = [] { return true; };
  ColdBound cold_bound_;
  FlowId last_flow_ = 0;
  std::map<FlowId, Running<ForwardFlow>> flows_;
  std::map<FlowId, Running<StreamFlow>> streams_;
  AliveFlag alive_;
};

}  // namespace millstair
