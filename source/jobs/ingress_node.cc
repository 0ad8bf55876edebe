#include "jobs/ingress_node.h"

#include <utility>

#include "jobs/job_group_founder.h"
#include "jobs/job_group_nodes.h"

namespace millstair {
namespace {

constexpr Duration kReadyPoll = std::chrono::milliseconds(50);

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

void IngressNode::Receive(const NodeId& from, const PeerMessage& message) {
  if (message.kind == MessageKind::kCommandReply) return jobs_.Receive(from, message);
  configuration_->Receive(from, message);
}

}  // namespace millstair
