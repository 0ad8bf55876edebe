/// Sends commands and queries to replicas of a group, through nodes that may have one. Which nodes
/// these are is asked anew at each try, so that nodes may come and go.
#pragma once

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

/// Which replica a client turns to.
enum class GroupTarget : uint8_t {
  kLeader,   ///< for changes: the first candidate, or whom a candidate names; kept while it answers
  kNearest,  ///< for confirmed reads: the first candidate that is not known to be of no use now
};

/// Lives on the node's serial executor. Commands have to bear being run more than once: an
/// unanswered one is repeated until its deadline.
class GroupClient {
 public:
  using Callback = std::function<void(absl::StatusOr<std::string>)>;
  /// Nodes that may have a replica of the group, in the order in which they are tried.
  using Candidates = std::function<std::vector<NodeId>()>;

  GroupClient(Environment& environment, PeerTransport& transport, GroupId group,
              Candidates candidates, GroupTarget target = GroupTarget::kLeader);

  /// `done` gets the encoded result; DeadlineExceeded means that the outcome is unknown.
  void Submit(CommandMode mode, std::string command, Duration timeout, Callback done);
  /// Messages of kind kCommandReply; whether it was an answer to this client.
  bool Receive(const NodeId& from, const PeerMessage& message);

 private:
  struct Pending {
    explicit Pending(Environment& environment)
        : deadline_timer(environment), retry_timer(environment) {}
    GroupCommand message;
    TimePoint deadline;
    Callback done;
    NodeId sent_to;
    ScopedTimer deadline_timer;
    ScopedTimer retry_timer;
  };

  uint64_t NewId();
  /// Asks elsewhere if there is no answer within `timeout`, drawn up to a quarter longer.
  void Send(Pending& pending, Duration timeout);
  /// The node asked can't serve the command; `leader` is who leads by its word, if not empty.
  void Retry(Pending& pending, const NodeId& leader);
  /// Sends after a pause.
  void SendAfterPause(Pending& pending);
  void Finish(uint64_t id, absl::StatusOr<std::string> result);
  NodeId Target(const std::vector<NodeId>& candidates) const;
  /// For how long `node` is not to be asked; 0 if it may be of use.
  Duration DeprioritizedFor(const NodeId& node) const;
  void Deprioritize(const NodeId& node, Duration time);
  /// The replica asked can't serve the read: another one is asked, at once if one may be of use.
  void RetryRead(Pending& pending);

  Environment& environment_;
  PeerTransport& transport_;
  const GroupId group_;
  const Candidates candidates_;
  const GroupTarget target_kind_;
  /// For kLeader: the node that answered last, or that another one named as the leader.
  NodeId target_;
  /// Nodes that did not answer, have no replica or know no leader, and until when others are asked
  /// in their place.
  std::map<NodeId, TimePoint> deprioritized_until_;
  std::map<uint64_t, std::unique_ptr<Pending>> pending_;
};

/// Has an operation of the cluster group committed, through its client. `done` hears its result;
/// DeadlineExceeded means that the outcome is unknown.
void SubmitOperation(GroupClient& cluster, ClusterOperation operation, Duration timeout,
                     std::function<void(absl::StatusOr<ClusterResult>)> done);

}  // namespace millstair
