#include "cluster/cluster_replica.h"

#include <utility>

namespace millstair {

std::unique_ptr<StateMachine> ClusterReplica::MakeStateMachine(ClusterLimits limits,
                                                               ClusterFaults faults) {
  auto machine = std::make_unique<ClusterStateMachine>(limits, faults);
  machine->OnChange(alive_.Guard([this] {
    if (on_change_) on_change_();
  }));
  machine->OnLeaseAnnounced(alive_.Guard([this](const LeaseAnnouncement& announcement) {
    for (const auto& callback : on_lease_announced_) callback(announcement);
  }));
  return machine;
}

RaftGroup* ClusterReplica::group() const {
  return groups_ == nullptr ? nullptr : groups_->Find(kClusterGroup);
}

const ClusterStateMachine* ClusterReplica::state() const {
  if (groups_ == nullptr) return nullptr;
  // The factory created it, so the type is known.
  return static_cast<const ClusterStateMachine*>(groups_->FindStateMachine(kClusterGroup));
}

bool ClusterReplica::UsesReplica() const {
  const ClusterStateMachine* machine = state();
  if (machine == nullptr) return false;
  // A new replica may be behind the relay.
  return relay_ == nullptr || !relay_->running() ||
         machine->configuration().revision >= relay_->configuration().revision;
}

bool ClusterReplica::CanConfirm() const {
  if (UsesReplica()) return true;
  return relay_ != nullptr && relay_->configuration().revision != Revision();
}

ConfigurationDelta ClusterReplica::DeltaSince(Revision from) const {
  return UsesReplica() ? state()->DeltaSince(from) : relay_->DeltaSince(from);
}

Revision ClusterReplica::nodes_changed_at() const {
  if (UsesReplica()) return state()->nodes_changed_at();
  return relay_ == nullptr ? Revision() : relay_->nodes_changed_at();
}

const Configuration& ClusterReplica::configuration() const {
  static const Configuration kEmpty;
  if (UsesReplica()) return state()->configuration();
  return relay_ == nullptr ? kEmpty : relay_->configuration();
}

const UsageLedger& ClusterReplica::usage() const {
  static const UsageLedger kEmpty;
  const ClusterStateMachine* machine = state();
  return machine == nullptr ? kEmpty : machine->usage();
}

const PoolSizes& ClusterReplica::pool_sizes() const {
  static const PoolSizes kEmpty;
  const ClusterStateMachine* machine = state();
  return machine == nullptr ? kEmpty : machine->pool_sizes();
}

bool ClusterReplica::IsLeader() const {
  const RaftGroup* replica = group();
  return replica != nullptr && replica->IsLeader();
}

std::optional<NodeId> ClusterReplica::Leader() const {
  const RaftGroup* replica = group();
  if (replica != nullptr && UsesReplica()) return replica->Leader();
  return relay_ == nullptr ? std::nullopt : relay_->Leader();
}

void ClusterReplica::Propose(ClusterCommand command,
                             std::function<void(absl::StatusOr<ClusterResult>)> done) {
  if (!IsLeader()) return done(absl::UnavailableError("not the leader of the cluster group"));
  command.proposed_at = environment_.WallNow();
  group()->Propose(EncodeCommand(command),
                   [done = std::move(done)](const absl::StatusOr<std::string>& result) {
                     if (!result.ok()) return done(result.status());
                     done(DecodeResult(*result));
                   });
}

void ClusterReplica::ProposeEncoded(std::string_view command,
                                    std::function<void(absl::StatusOr<std::string>)> done) {
  if (!IsLeader()) return done(absl::UnavailableError("not the leader of the cluster group"));
  auto decoded = DecodeCommand(command);
  if (!decoded.ok()) return done(decoded.status());
  decoded->proposed_at = environment_.WallNow();
  group()->Propose(EncodeCommand(*decoded), std::move(done));
}

void ClusterReplica::ConfirmByRelay(std::function<void(absl::Status)> done) {
  relay_->ConfirmRead(alive_.Guard([this, done = std::move(done)](const absl::Status& status) {
    // The relay ended because this node has a current replica, which can confirm the read.
    if (absl::IsAborted(status)) return ConfirmRead(done);
    done(status);
  }));
}

void ClusterReplica::ConfirmRead(std::function<void(absl::Status)> done) {
  RaftGroup* replica = group();
  if (!UsesReplica() && relay_ != nullptr) return ConfirmByRelay(std::move(done));
  if (replica == nullptr) return done(absl::UnavailableError("no replica of the cluster group"));
  replica->ConfirmRead(
      [done = std::move(done)](const absl::StatusOr<LogIndex>& index) { done(index.status()); });
}

}  // namespace millstair
