#include "ingress/ingress_service.h"

#include <utility>

#include "common/event_log.h"

namespace millstair {
IngressService::IngressService(Environment& environment, HttpCaller& http,
                               const BackendProtocol& protocol, const RoutingDocumentReader& reader,
                               Zone own_zone, StatsRegistry* stats)
    : environment_(environment),
      reader_(reader),
      stats_(stats),
      directory_(environment, std::move(own_zone), stats),
      guard_(
          environment, http, protocol,
          [this](const ServiceName& name) {
            const Service* service = routes_ ? routes_->FindService(name) : nullptr;
            return service == nullptr ? std::string() : service->health_path;
          },
          stats),
      context_{environment, http, directory_, protocol, guard_} {}

void IngressService::EnableAdmission() {
  admission_ = std::make_unique<AdmissionControl>(environment_, directory_, stats_);
  context_.admission = admission_.get();
}

void IngressService::Update(const Configuration& configuration) {
  directory_.Update(configuration);
  guard_.Update(configuration.suspects);
  guard_.OnRevision(configuration.revision);
  UpdateRoutes(configuration.routing, configuration.revision);
}

void IngressService::Apply(const Configuration& configuration, const ConfigurationDelta& changes) {
  if (changes.full) return Update(configuration);
  directory_.Apply(configuration, changes);
  const bool suspects = !changes.changed_suspects.empty() || !changes.deleted_suspects.empty();
  if (suspects) guard_.Update(configuration.suspects);
  guard_.OnRevision(configuration.revision);
  if (changes.routing) UpdateRoutes(configuration.routing, configuration.revision);
}

void IngressService::UpdateRoutes(const RoutingDocument& document, Revision revision) {
  if (document.version == 0) return;
  const uint64_t digest = DigestOf(document);
  // Compares the content as well as the version: operators choose the version, and may reuse it for
  // other content after the cluster lost its data.
  const bool unchanged =
      routes_ && routes_->version == document.version && routes_->digest == digest;
  if (unchanged) {
    newest_unreadable_ = false;
    return;
  }
  auto table = reader_.Read(document.content);
  newest_unreadable_ = !table.ok();
  if (!table.ok()) {
    LogEvent(EventId::kRoutingUnread, "version={} error=\"{}\"", document.version,
             std::string(table.status().message()));
    return;
  }
  table->digest = digest;
  LogEvent(EventId::kRoutingApplied, "version={} digest={:016x} routes={} services={} revision={}",
           document.version, table->digest, table->routes.size(), table->services.size(), revision);
  routes_ = *std::move(table);
  ColdPolicy cold;
  cold.bound = cold_bound_;
  for (const Service& service : routes_->services) {
    if (service.cold_requests_per_second <= 0) continue;
    cold.service_rates[service.name] = service.cold_requests_per_second;
  }
  directory_.SetColdPolicy(std::move(cold));
}

Route IngressService::RouteFor(const Route& route, const TenantName& tenant) const {
  Route own = route;
  own.priority = routes_->PriorityOf(route, tenant);
  return own;
}

IngressService::FlowId IngressService::Forward(ForwardRequest request, Callback done) {
  const FlowId id = ++last_flow_;
  const Route* route = routes_ ? routes_->Find(request.host, request.http.target) : nullptr;
  if (route == nullptr || route->services.empty()) {
    FinishUnrouted(std::move(done));
    return id;
  }
  Route own = RouteFor(*route, request.tenant);
  auto flow = std::make_unique<ForwardFlow>(
      context_, std::move(own), std::move(request),
      [this, id, started_at = environment_.Now(), version = routes_->version,
       digest = routes_->digest, done = std::move(done)](ForwardResult result) {
        result.routing_version = version;
        result.routing_digest = digest;
        Count(result, environment_.Now() - started_at);
        auto ended = flows_.extract(id);
        // Destroyed later, since the flow's own callbacks are still on the stack.
        if (!ended.empty()) {
          environment_.Schedule(
              Duration(0),
              [flow = std::shared_ptr<ForwardFlow>(std::move(ended.mapped().flow))] {});
        }
        done(std::move(result));
      });
  flows_[id] = {std::move(flow), routes_->version, routes_->digest};
  environment_.Schedule(Duration(0), alive_.Guard([this, id] {
    const auto found = flows_.find(id);
    if (found != flows_.end()) found->second.flow->Start();
  }));
  return id;
}

void IngressService::Count(const ForwardResult& result, Duration took) {
  if (stats_ == nullptr) return;
  stats_
      ->NewHistogram({"millstair_forward_seconds", "Time of requests by how they ended.", "outcome",
                      std::string(ForwardOutcomeName(result.outcome))})
      .Observe(ToSeconds(took));
  stats_->NewCounter({"millstair_forward_tries_total", "Requests sent to back ends."})
      .Add(result.attempts);
}

void IngressService::FinishUnrouted(Callback done) {
  if (!routes_) {
    return FinishSoon(ForwardOutcome::kNotConfigured, "no routes are known yet", std::move(done));
  }
  if (!is_current_() || newest_unreadable_) {
    return FinishSoon(ForwardOutcome::kNotConfigured, "the routes of this node may be out of date",
                      std::move(done));
  }
  FinishSoon(ForwardOutcome::kNoRoute, "no route matches the request", std::move(done));
}

void IngressService::FinishSoon(ForwardOutcome outcome, std::string reason, Callback done) {
  ForwardResult result;
  result.outcome = outcome;
  result.reason = std::move(reason);
  result.routing_version = routes_ ? routes_->version : 0;
  result.routing_digest = routes_ ? routes_->digest : 0;
  result.retry_after = kRetryWhenUnconfigured;
  environment_.Schedule(Duration(0), alive_.Guard([result = std::move(result),
                                                   done = std::move(done)] { done(result); }));
}

IngressService::FlowId IngressService::ForwardStream(ForwardRequest request, StreamSink& sink,
                                                     std::function<void(StreamEnd)> done) {
  const FlowId id = ++last_flow_;
  const Route* route = routes_ ? routes_->Find(request.host, request.http.target) : nullptr;
  if (route == nullptr || route->services.empty()) {
    FinishUnrouted([done = std::move(done)](ForwardResult result) {
      done({std::move(result), false, 0});
    });
    return id;
  }
  Route own = RouteFor(*route, request.tenant);
  auto flow = std::make_unique<StreamFlow>(
      context_, std::move(own), std::move(request), sink,
      [this, id, started_at = environment_.Now(), version = routes_->version,
       digest = routes_->digest, done = std::move(done)](StreamEnd result) {
        result.forward.routing_version = version;
        result.forward.routing_digest = digest;
        Count(result.forward, environment_.Now() - started_at);
        auto ended = streams_.extract(id);
        // Destroyed later, since the flow's own callbacks are still on the stack.
        if (!ended.empty()) {
          environment_.Schedule(
              Duration(0), [flow = std::shared_ptr<StreamFlow>(std::move(ended.mapped().flow))] {});
        }
        done(std::move(result));
      });
  streams_[id] = {std::move(flow), routes_->version, routes_->digest};
  environment_.Schedule(Duration(0), alive_.Guard([this, id] {
    const auto found = streams_.find(id);
    if (found != streams_.end()) found->second.flow->Start();
  }));
  return id;
}

void IngressService::SetStreamPaused(FlowId flow, bool paused) {
  const auto found = streams_.find(flow);
  if (found != streams_.end()) found->second.flow->SetPaused(paused);
}

template <class Flow>
std::optional<ForwardResult> IngressService::End(std::map<FlowId, Running<Flow>>& running,
                                                 FlowId flow) {
  const auto ended = running.extract(flow);
  if (ended.empty()) return std::nullopt;
  ForwardResult result = ended.mapped().flow->Progress();
  result.outcome = ForwardOutcome::kAbandoned;
  result.routing_version = ended.mapped().routing_version;
  result.routing_digest = ended.mapped().routing_digest;
  return result;
}

std::optional<ForwardResult> IngressService::Cancel(FlowId flow) {
  const auto ended = End(flows_, flow);
  return ended ? ended : End(streams_, flow);
}

}  // namespace millstair
