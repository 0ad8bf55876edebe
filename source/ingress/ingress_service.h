/// Requests of clients on their way to back ends that registered themselves, by the routes of the
/// operator's whole configuration.
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

/// When a caller may come back to a node that does not know yet, or can't be sure of, what is
/// configured. One that has just started is proven is_current after one or two heartbeats, and the
/// caller's next try reaches another node anyway.
inline constexpr Duration kRetryWhenUnconfigured = std::chrono::milliseconds(250);

/// Lives on the node's serial executor.
class IngressService {
 public:
  using FlowId = uint64_t;
  using Callback = std::function<void(ForwardResult)>;

  IngressService(Environment& environment, HttpCaller& http, const BackendProtocol& protocol,
                 const RoutingDocumentReader& reader, Zone own_zone,
                 StatsRegistry* stats = nullptr);

  /// Hears of requests that began to run.
  void SetRequestStartListener(RequestStartListener listener) {
    context_.on_request_started = std::move(listener);
  }
  /// Whether the routes held are proven is_current. Where they are not, a request without a route
  /// is told that this node can't tell now, since its route may be newer.
  void SetIsCurrent(std::function<bool()> is_current) { is_current_ = std::move(is_current); }
  /// Runs what goes by the configuration once that is proven is_current, or known not to be
  /// provable now.
  void SetWhenCurrent(WhenCurrent when_current) { context_.when_current = std::move(when_current); }
  /// How long ago the configuration held was last known to be the newest; for logs.
  void SetConfirmationAge(std::function<std::optional<Duration>()> age) {
    context_.confirmation_age = std::move(age);
  }
  /// Where crashes of back ends are reported; outlives the service.
  void SetSuspectRegister(SuspectRegister& suspects) { guard_.SetRegister(&suspects); }
  RequestGuard& guard() { return guard_; }
  /// What bounds requests to back ends that are slow after their start.
  void SetColdBound(ColdBound bound) { cold_bound_ = bound; }
  /// Takes over a whole configuration.
  void Update(const Configuration& configuration);
  /// Takes over `changes`, which led to `configuration`.
  void Apply(const Configuration& configuration, const ConfigurationDelta& changes);

  /// Null before the first routing configuration.
  const RouteTable* routes() const { return routes_ ? &*routes_ : nullptr; }
  /// Whether the newest document that came can't be read, so that the routes held are older.
  bool NewestUnreadable() const { return newest_unreadable_; }
  BackendDirectory& directory() { return directory_; }
  const BackendProtocol& protocol() const { return context_.protocol; }

  /// `done` is called once, unless the request is cancelled; never before Forward returns.
  FlowId Forward(ForwardRequest request, Callback done);
  /// The same for a request whose route streams; `sink` outlives the flow.
  FlowId ForwardStream(ForwardRequest request, StreamSink& sink,
                       std::function<void(StreamEnd)> done);
  /// The client has gone.
  void Cancel(FlowId flow);

 private:
  void UpdateRoutes(const RoutingDocument& document, Revision revision);
  void Count(const ForwardResult& result, Duration took);
  void FinishSoon(ForwardOutcome outcome, std::string reason, Callback done);
  /// Ends a request that no route leads on.
  void FinishUnrouted(Callback done);

  Environment& environment_;
  const RoutingDocumentReader& reader_;
  StatsRegistry* const stats_;
  BackendDirectory directory_;
  RequestGuard guard_;
  ForwardContext context_;
  std::optional<RouteTable> routes_;
  bool newest_unreadable_ = false;
  std::function<bool()> is_current_ = [] { return true; };
  ColdBound cold_bound_;
  FlowId last_flow_ = 0;
  std::map<FlowId, std::unique_ptr<ForwardFlow>> flows_;
  std::map<FlowId, std::unique_ptr<StreamFlow>> streams_;
  AliveFlag alive_;
};

}  // namespace millstair
