/// A Raft group of one replica in virtual time: proposals are applied to a state machine after a
/// delay, unless `quorum` is false.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/virtual_environment.h"
#include "consensus/raft_group.h"
#include "consensus/state_machine.h"

namespace millstair {

class FakeGroup : public RaftGroup {
 public:
  FakeGroup(VirtualScheduler& scheduler, StateMachine* machine)
      : scheduler_(scheduler), machine_(machine) {}

  const GroupId& id() const override { return id_; }
  bool IsLeader() const override { return leader; }
  std::optional<NodeId> Leader() const override { return leader_node; }
  Term CurrentTerm() const override { return term; }
  LogIndex AppliedIndex() const override { return LogIndex(index_); }
  std::vector<GroupMember> Members() const override { return members; }
  bool HasCommittedMembers() const override { return leader && members_committed; }
  bool HasReplied(ReplicaId replica, TimePoint since) const override {
    const auto found = replied_at.find(replica);
    return found != replied_at.end() && found->second >= since;
  }

  bool IsUnresponsive(ReplicaId replica, TimePoint since) const override {
    const auto found = unresponsive_since.find(replica);
    return found != unresponsive_since.end() && found->second < since;
  }
  Duration UncommittedFor() const override { return uncommitted_for; }
  const absl::Status& Failure() const override { return failure; }

  void Propose(std::string command,
               std::function<void(absl::StatusOr<std::string>)> done) override {
    scheduler_.Schedule(commit_time, [this, command, done] {
      if (!quorum) return done(absl::UnavailableError("no quorum"));
      done(machine_ == nullptr ? "" : machine_->Apply(LogIndex(++index_), command));
    });
  }
  void ConfirmRead(std::function<void(absl::StatusOr<LogIndex>)> done) override {
    scheduler_.Schedule(commit_time, [this, done] {
      if (!quorum) return done(absl::UnavailableError("no quorum"));
      done(LogIndex(index_));
    });
  }
  void AddLearner(GroupMember member, std::function<void(absl::Status)> done) override {
    member.voter = false;
    members.push_back(member);
    Finish(done);
  }
  void Promote(ReplicaId replica, std::function<void(absl::Status)> done) override {
    if (promotions_refused > 0) {
      --promotions_refused;
      scheduler_.Schedule(commit_time,
                          [done] { done(absl::FailedPreconditionError("not caught up")); });
      return;
    }
    for (GroupMember& member : members) member.voter = member.voter || member.replica == replica;
    Finish(done);
  }
  void RemoveMember(ReplicaId replica, std::function<void(absl::Status)> done) override {
    std::erase_if(members, [&](const GroupMember& member) { return member.replica == replica; });
    Finish(done);
  }
  void TransferLeadership(std::function<void(absl::Status)> done) override {
    ++transfers;
    Finish(done);
  }

  /// Number of promotions that fail, as if the learner had not caught up.
  int promotions_refused = 0;
  bool leader = true;
  bool quorum = true;
  std::optional<NodeId> leader_node;
  Term term = Term(3);
  Duration commit_time = std::chrono::milliseconds(2);
  std::vector<GroupMember> members;
  bool members_committed = true;
  /// When each replica replied last; one without an entry never did.
  std::map<ReplicaId, TimePoint> replied_at;
  /// Members that stopped replying, and when.
  std::map<ReplicaId, TimePoint> unresponsive_since;
  Duration uncommitted_for{0};
  absl::Status failure;
  int transfers = 0;

 private:
  void Finish(std::function<void(absl::Status)> done) {
    scheduler_.Schedule(commit_time, [done] { done(absl::OkStatus()); });
  }

  VirtualScheduler& scheduler_;
  StateMachine* machine_;
  const GroupId id_ = GroupId("jobs/0");
  uint64_t index_ = 0;
};

}  // namespace millstair
