#include "cluster/cluster_relay.h"

#include <utility>

#include "cluster/cluster_state_machine.h"
#include "common/event_log.h"

namespace millstair {

ClusterRelay::ClusterRelay(Environment& environment, PeerTransport& transport,
                           ClusterRelayOptions options)
    : environment_(environment),
      transport_(transport),
      options_(std::move(options)),
      history_(ClusterLimits().max_history) {}

void ClusterRelay::Start(ReplicaId replica) {
  client_ =
      MakeRelayedConfigurationClient(environment_, transport_, options_.self, replica,
                                     options_.control_nodes, options_.timing, options_.faults);
  client_->OnChange([this](const ConfigurationDelta& changes) { OnChanges(changes); });
  client_->Start();
  LogEvent(EventId::kRelayStarted, "node={} replica={}", options_.self.node, replica);
}

void ClusterRelay::Stop() {
  LogEvent(EventId::kRelayStopped, "node={} revision={} reads={}", options_.self.node,
           configuration().revision, client_->PendingReads());
  const std::unique_ptr<RelayedConfigurationClient> client = std::move(client_);
  history_.Reset(Revision());
  nodes_changed_at_ = Revision();
  // Last, because the callers may turn to this node's own replica at once.
  client->AbortReads();
}

void ClusterRelay::OnChanges(const ConfigurationDelta& changes) {
  const Revision revision = configuration().revision;
  if (changes.full) {
    history_.Reset(revision);
  } else {
    history_.Add(revision, ChangesOf(changes));
  }
  if (TouchesNodes(changes)) nodes_changed_at_ = revision;
  if (on_change_) on_change_();
}

const Configuration& ClusterRelay::configuration() const {
  static const Configuration kEmpty;
  return client_ == nullptr ? kEmpty : client_->configuration();
}

ConfigurationDelta ClusterRelay::DeltaSince(Revision from) const {
  return history_.Since(from, configuration());
}

void ClusterRelay::ConfirmRead(std::function<void(absl::Status)> done) {
  if (client_ == nullptr) return done(absl::UnavailableError("not following any replica"));
  client_->ConfirmRead(std::move(done));
}

std::optional<NodeId> ClusterRelay::Leader() const {
  return client_ == nullptr ? std::nullopt : client_->Leader();
}

void ClusterRelay::SetLeaving() {
  options_.self.state = MemberState::kLeaving;
  if (client_ != nullptr) client_->SetLeaving();
}

void ClusterRelay::Receive(const NodeId& from, const PeerMessage& message) {
  if (client_ != nullptr) client_->Receive(from, message);
}

}  // namespace millstair
