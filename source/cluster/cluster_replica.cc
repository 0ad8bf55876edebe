#include "cluster/cluster_replica.h"

#include <utility>

namespace millstair {

std::unique_ptr<StateMachine> ClusterReplica::MakeStateMachine(ClusterLimits limits,
                                                               ClusterFaults faults) {
  auto machine = std::make_unique<ClusterStateMachine>(limits, faults);
  machine->OnChange(alive_.Guard([this] {
    if (on_change_) on_change_();
  }));
  machine->OnDutyAnnounced(alive_.Guard([this](const HolderAnnouncement& announcement) {
    if (on_duty_announced_) on_duty_announced_(announcement);
  }));
  return machine;
}

RaftGroup* ClusterReplica::group() const {
  return groups_ == nullptr ? nullptr : groups_->Find(kClusterGroup);
}

const ClusterStateMachine* ClusterReplica::state() const {
  if (groups_ == nullptr) return nullptr;
  // The factory made it, so the type is known.
  return static_cast<const ClusterStateMachine*>(groups_->FindStateMachine(kClusterGroup));
}

const Configuration& ClusterReplica::configuration() const {
  static const Configuration kEmpty;
  const ClusterStateMachine* machine = state();
  return machine == nullptr ? kEmpty : machine->configuration();
}

const UsageLedger& ClusterReplica::usage() const {
  static const UsageLedger kEmpty;
  const ClusterStateMachine* machine = state();
  return machine == nullptr ? kEmpty : machine->usage();
}

bool ClusterReplica::IsLeader() const {
  const RaftGroup* replica = group();
  return replica != nullptr && replica->IsLeader();
}

std::optional<NodeId> ClusterReplica::Leader() const {
  const RaftGroup* replica = group();
  return replica == nullptr ? std::nullopt : replica->Leader();
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

void ClusterReplica::ConfirmRead(std::function<void(absl::Status)> done) {
  RaftGroup* replica = group();
  if (replica == nullptr) return done(absl::UnavailableError("no replica of the cluster group"));
  replica->ConfirmRead(
      [done = std::move(done)](const absl::StatusOr<LogIndex>& index) { done(index.status()); });
}

}  // namespace millstair
