#include "jobs/ingress_node.h"

#include <utility>

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
      jobs_(environment, transport, [this] { return StorageNodes(); }),
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

std::vector<NodeId> IngressNode::StorageNodes() const {
  std::vector<NodeId> near;
  std::vector<NodeId> far;
  for (const auto& [node, record] : configuration().nodes) {
    if (!record.storage || record.state == MemberState::kGone) continue;
    (record.zone == zone_ ? near : far).push_back(node);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

void IngressNode::Receive(const NodeId& from, const PeerMessage& message) {
  if (message.kind == MessageKind::kCommandReply) return jobs_.Receive(from, message);
  configuration_->Receive(from, message);
}

}  // namespace millstair
