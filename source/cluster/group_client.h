/// Sends commands and queries to replicas of a group. The list of candidate nodes is fetched again
/// for each attempt, so nodes may come and go.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/cluster_commands.h"
#include "cluster/control_client.h"
#include "cluster/control_messages.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"

namespace millstair {

/// Which replica a client sends to.
enum class GroupTarget : uint8_t {
  kLeader,   ///< for changes: the first candidate or the leader it names, while responsive
  kNearest,  ///< for confirmed reads: the first candidate that is not avoided at present
};

/// Lives on the node's serial executor. Commands must tolerate being run more than once: an
/// unanswered one is resent until its deadline.
class GroupClient {
 public:
  using Callback = std::function<void(absl::StatusOr<std::string>)>;
  /// Nodes that may have a replica of the group, in the order of attempts.
  using Candidates = std::function<std::vector<NodeId>()>;

  GroupClient(Environment& environment, PeerTransport& transport, GroupId group,
              Candidates candidates, GroupTarget target = GroupTarget::kLeader);

  /// `done` gets the encoded result; DeadlineExceeded means that the outcome is unknown.
  /// With `may_be_rejected`, the leader may reject the command: `done` then gets the status of
  /// CommandRejectedError, if no copy that was sent can have been run or be run later. If that is
  /// unknown, it gets DeadlineExceeded.
  void Submit(CommandMode mode, std::string command, Duration timeout, Callback done,
              bool may_be_rejected = false);
  /// Messages of kind kCommandReply. Returns whether it was a reply to this client.
  bool Receive(const NodeId& from, const PeerMessage& message);

 private:
  /// Copies of a command that were sent to one node.
  struct Copies {
    size_t sent = 0;
    /// Replies that a copy was not proposed. Each copy needs its own: one that is still queued may
    /// reach the node's next process, which does not know what this one rejected.
    size_t not_run = 0;
  };
  struct Pending {
    explicit Pending(Environment& environment)
        : deadline_timer(environment), retry_timer(environment) {}
    GroupCommand message;
    TimePoint deadline;
    Callback done;
    NodeId sent_to;
    std::map<NodeId, Copies> copies;
    /// Set once a leader rejected the command; no further copy is sent then.
    absl::Status rejection;
    ScopedTimer deadline_timer;
    ScopedTimer retry_timer;
  };

  uint64_t NewId();
  /// Retries elsewhere without a reply within `timeout`, extended at random by up to a quarter.
  void Send(Pending& pending, Duration timeout);
  void Reject(const NodeId& from, const GroupCommandReply& reply);
  /// Ends a command that a leader rejected if no copy of it can run. Otherwise its other replies
  /// are awaited.
  void FinishIfRejected(uint64_t id);
  /// The node can't serve the command; `leader` is the leader according to it, if not empty.
  void Retry(Pending& pending, const NodeId& leader);
  void SendAfterPause(Pending& pending);
  void Finish(uint64_t id, absl::StatusOr<std::string> result);
  NodeId Target(const std::vector<NodeId>& candidates) const;
  /// How much longer `node` is to be avoided; 0 if it is not.
  Duration DeprioritizedFor(const NodeId& node) const;
  void Deprioritize(const NodeId& node, Duration time);
  /// The replica can't serve the read: retries with another one, at once if one is available.
  void RetryRead(Pending& pending);

  Environment& environment_;
  PeerTransport& transport_;
  const GroupId group_;
  const Candidates candidates_;
  const GroupTarget target_kind_;
  /// For kLeader: the node that last replied, or that another one named as the leader.
  NodeId target_;
  /// Nodes that were unresponsive, have no replica or know no leader, and until when others are
  /// preferred.
  std::map<NodeId, TimePoint> deprioritized_until_;
  std::map<uint64_t, std::unique_ptr<Pending>> pending_;
};

/// Commits an operation of the cluster group through its client. `done` gets the result;
/// DeadlineExceeded means that the outcome is unknown.
void SubmitOperation(GroupClient& cluster, ClusterOperation operation, Duration timeout,
                     std::function<void(absl::StatusOr<ClusterResult>)> done);

}  // namespace millstair
