/// Membership changes: one member at a time, each in its own entry.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "consensus/raft_codec.h"
#include "consensus/raft_core.h"

namespace millstair {
namespace {

/// Maximum lag in entries at which a learner may be promoted.
constexpr uint64_t kPromotionLag = 64;

}  // namespace

absl::StatusOr<LogPosition> RaftCore::AddLearner(GroupMember member) {
  if (!IsLeader()) return absl::UnavailableError("not the leader");
  member.voter = false;
  std::vector<GroupMember> members = configuration().members;
  members.push_back(std::move(member));
  return ProposeMembers(std::move(members));
}

absl::StatusOr<LogPosition> RaftCore::Promote(ReplicaId replica) {
  if (!IsLeader()) return absl::UnavailableError("not the leader");
  const auto it = progress_.find(replica);
  if (it == progress_.end()) return absl::NotFoundError("no such member");
  const Progress& progress = it->second;
  const bool active = now_ - progress.last_active() < options_.election_timeout;
  const bool caught_up = progress.state() == ProgressState::kReplicate &&
                         progress.match().value() + kPromotionLag >= log_.last_index().value();
  if (!active || !caught_up) {
    return absl::FailedPreconditionError(absl::StrCat(
        "learner is at entry ", progress.match().value(), " of ", log_.last_index().value()));
  }
  std::vector<GroupMember> members = configuration().members;
  for (GroupMember& member : members) {
    if (member.replica == replica) member.voter = true;
  }
  return ProposeMembers(std::move(members));
}

absl::StatusOr<LogPosition> RaftCore::RemoveMember(ReplicaId replica) {
  if (!IsLeader()) return absl::UnavailableError("not the leader");
  std::vector<GroupMember> members = configuration().members;
  std::erase_if(members, [&](const GroupMember& member) { return member.replica == replica; });
  return ProposeMembers(std::move(members));
}

absl::StatusOr<LogPosition> RaftCore::ProposeMembers(std::vector<GroupMember> members) {
  if (transferee_.has_value()) return absl::UnavailableError("leadership transfer in progress");
  Configuration next{Next(log_.last_index()), members};
  if (next.VoterCount() == 0)
    return absl::FailedPreconditionError("the configuration would have no voter");
  if (!options_.faults.unchecked_membership_change) {
    if (commit_ < first_entry_of_term_) {
      return absl::FailedPreconditionError("no entry of this term is committed yet");
    }
    if (configuration().index > commit_) {
      return absl::FailedPreconditionError("another membership change is in progress");
    }
    if (!QuorumActive(next)) {
      return absl::FailedPreconditionError("the reachable voters would not form a quorum");
    }
  }
  AppendAsLeader(EntryType::kConfiguration, std::make_shared<std::string>(EncodeMembers(members)));
  configurations_.Add(log_.last_index(), std::move(members));
  SyncProgressWithMembers();
  if (options_.faults.ack_before_sync) AdvanceCommit();
  return LastPosition();
}

bool RaftCore::HasCommittedConfiguration() const {
  return IsLeader() && configuration().index <= commit_ && commit_ >= first_entry_of_term_;
}

void RaftCore::HandleNonMember(const RaftMessage& message) {
  if (!HasCommittedConfiguration()) return;
  if (configuration().Find(message.from) != nullptr) return;
  RaftMessage reply = MakeMessage(RaftMessageType::kRemoved, message.from);
  Send(std::move(reply));
}

}  // namespace millstair
