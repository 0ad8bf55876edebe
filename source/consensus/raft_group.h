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

namespace millstair {

/// A member of a group. Members are told apart by their disk, not by their name.
struct GroupMember {
  ReplicaId replica;
  NodeId node;
  /// Where the node listens for peers, "ip:port".
  std::string address;
  bool voter = true;
  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/// Index of the member on `node`; none if there is none.
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
  /// Node of the leader as far as this replica knows.
  virtual std::optional<NodeId> Leader() const = 0;
  virtual Term CurrentTerm() const = 0;
  virtual LogIndex AppliedIndex() const = 0;
  virtual std::vector<GroupMember> Members() const = 0;

  /// Appends `command`; `done` gets the state machine's result once it is applied here.
  /// InvalidArgument if it is larger than kMaxCommandBytes.
  virtual void Propose(std::string command,
                       std::function<void(absl::StatusOr<std::string>)> done) = 0;
  /// Confirms with a quorum that no newer entry was committed elsewhere; works on followers too
  /// (they ask the leader). `done` gets an index that was committed at some moment after the call,
  /// once it is applied here.
  virtual void ConfirmRead(std::function<void(absl::StatusOr<LogIndex>)> done) = 0;

  virtual void AddLearner(GroupMember member, std::function<void(absl::Status)> done) = 0;
  /// FailedPrecondition while the learner is not caught up.
  virtual void Promote(ReplicaId replica, std::function<void(absl::Status)> done) = 0;
  virtual void RemoveMember(ReplicaId replica, std::function<void(absl::Status)> done) = 0;
  /// Hands leadership to the most caught-up other voter; `done` once this replica leads no more.
  virtual void TransferLeadership(std::function<void(absl::Status)> done) = 0;
};

}  // namespace millstair
