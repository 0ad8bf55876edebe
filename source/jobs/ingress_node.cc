#include "jobs/ingress_node.h"

#include <utility>

#include "jobs/job_group_founder.h"
#include "jobs/job_group_nodes.h"

namespace millstair {
namespace {

constexpr Duration kReadyPoll = std::chrono::milliseconds(50);
/// A node that has just started is proven fresh after one or two heartbeats; the caller's next try
/// reaches another node anyway.
constexpr Duration kRetryWhenUnsure = std::chrono::milliseconds(250);

}  // namespace

IngressNode::IngressNode(Environment& environment, PeerTransport& transport, HttpCaller& http,
                         const BackendProtocol& protocol, const RoutingDocumentReader& reader,
                         IngressNodeOptions options)
    : transport_(transport),
      self_(options.self.node),
      zone_(options.self.zone),
      configuration_(MakeConfigurationClient(environment, transport, options.self,
                                             options.control_nodes, options.configuration_timing)),
      ingress_(environment, http, protocol, reader, options.self.zone, options.stats),
      jobs_(
          environment, transport,
          [this] { return JobNodesForChanges(configuration(), kJobGroup, zone_); },
          [this] { return JobNodesForReads(configuration(), kJobGroup, zone_); }),
      ready_timer_(environment) {}

void IngressNode::Start() {
  configuration_->OnChange([this] { ConfigurationChanged(); });
  configuration_->Start();
  CheckReady();
}

void IngressNode::ConfigurationChanged() {
  for (const auto& [node, record] : configuration().nodes) {
    if (node != self_ && record.storage) transport_.SetAddress(node, record.address);
  }
  ingress_.Update(configuration());
}

void IngressNode::CheckReady() {
  ready_ = ingress_.routes() != nullptr && configuration_->LeaseValid();
  if (!ready_) ready_timer_.Arm(kReadyPoll, [this] { CheckReady(); });
}

Admission IngressNode::Admit(const Route* route, std::optional<std::string_view> key) const {
  const RouteTable* routes = ingress_.routes();
  if (routes == nullptr) return {AdmissionVerdict::kUnsure, {}, kRetryWhenUnsure};
  if (!routes->tenants) return {};
  const Access access = routes->CheckAccess(key, route != nullptr && route->is_public);
  if (access.verdict == AccessVerdict::kAllowed) {
    const bool by_key = access.tenant != TenantName();
    if (by_key && !ready_) return {AdmissionVerdict::kUnsure, {}, kRetryWhenUnsure};
    return {AdmissionVerdict::kAllowed, access.tenant, Duration(0)};
  }
  if (!ready_ || !LeaseValid()) return {AdmissionVerdict::kUnsure, {}, kRetryWhenUnsure};
  return {AdmissionVerdict::kUnknownKey, {}, Duration(0)};
}

void IngressNode::Receive(const NodeId& from, const PeerMessage& message) {
  if (message.kind == MessageKind::kCommandReply) return jobs_.Receive(from, message);
  configuration_->Receive(from, message);
}

}  // namespace millstair
