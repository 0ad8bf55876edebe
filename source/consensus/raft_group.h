/// One Raft group of a node, as the rest of the node sees it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// A member of a group, identified by the replica id of its disk rather than by its node.
struct GroupMember {
  ReplicaId replica;
  NodeId node;
  /// Peer listener of the node, "ip:port".
  std::string address;
  bool voter = true;
  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/// Index of the member on `node`, or nullopt.
inline std::optional<size_t> IndexOf(const std::vector<GroupMember>& members, const NodeId& node) {
  for (size_t i = 0; i < members.size(); ++i) {
    if (members[i].node == node) return i;
  }
  return std::nullopt;
}

inline constexpr size_t kMaxCommandBytes = 8 << 20;

/// Lives on the node's serial executor. Errors of the callbacks: Unavailable when this replica is
/// not the leader or lost leadership before the entry was committed (the outcome is then unknown
/// for Propose), DeadlineExceeded on timeout.
class RaftGroup {
 public:
  virtual ~RaftGroup() = default;

  virtual const GroupId& id() const = 0;
  virtual bool IsLeader() const = 0;
  /// Node of the leader known to this replica.
  virtual std::optional<NodeId> Leader() const = 0;
  virtual Term CurrentTerm() const = 0;
  virtual LogIndex AppliedIndex() const = 0;
  /// As of the last membership change in this replica's log, which may not be committed yet.
  virtual std::vector<GroupMember> Members() const = 0;
  /// Whether this replica leads and Members() is committed, so that every later leader has it.
  virtual bool HasCommittedMembers() const = 0;
  /// Whether this replica leads and the member `replica` has replied to one of its entries,
  /// heartbeats or snapshots at or after `since`.
  virtual bool HasReplied(ReplicaId replica, TimePoint since) const = 0;
  /// Whether this replica leads, and the member `replica` has not replied at or after `since`
  /// although it was a member, and this replica its leader, before.
  virtual bool IsUnresponsive(ReplicaId replica, TimePoint since) const = 0;
  /// How long the oldest command that was proposed here in this leadership has waited for its
  /// commit; 0 if none waits or this replica does not lead.
  virtual Duration UncommittedFor() const = 0;
  /// Not OK while this replica is stopped by an error: it neither leads nor votes, stores nothing
  /// and fails all requests.
  virtual const absl::Status& Failure() const = 0;

  /// Appends `command`; `done` receives the state machine's result once it is applied locally.
  /// InvalidArgument if it is larger than kMaxCommandBytes.
  virtual void Propose(std::string command,
                       std::function<void(absl::StatusOr<std::string>)> done) = 0;
  /// Linearizable read: `done` receives an index that covers all entries committed before the call,
  /// once it is applied locally. A quorum confirms it; a follower requests it from the leader.
  virtual void ConfirmRead(std::function<void(absl::StatusOr<LogIndex>)> done) = 0;

  virtual void AddLearner(GroupMember member, std::function<void(absl::Status)> done) = 0;
  /// FailedPrecondition until the learner has caught up.
  virtual void Promote(ReplicaId replica, std::function<void(absl::Status)> done) = 0;
  virtual void RemoveMember(ReplicaId replica, std::function<void(absl::Status)> done) = 0;
  /// Transfers leadership to the most up-to-date other voter; `done` runs once this replica no
  /// longer leads.
  virtual void TransferLeadership(std::function<void(absl::Status)> done) = 0;
};

}  // namespace millstair
