/// Commands of other nodes for a group: served if this node leads the group, else passed on to the
/// leader, whose reply comes back this way.
#pragma once

#include <set>

#include "cluster/cluster_replica.h"
#include "cluster/control_messages.h"
#include "cluster/membership_manager.h"
#include "cluster/stream_host.h"
#include "common/alive_flag.h"

namespace millstair {

class CommandService {
 public:
  CommandService(PeerTransport& transport, ClusterReplica& cluster, StreamHost& streams,
                 const MembershipManager& membership, NodeId self);

  void Start(GroupHost& groups) { groups_ = &groups; }
  /// A message of kind kCommand.
  void ReceiveCommand(const NodeId& from, const PeerMessage& message);
  /// A message of kind kCommandReply; whether it was bound for another node and passed on.
  bool PassOnReply(const PeerMessage& message);
  /// Runs a command of this node itself. Unavailable if it does not lead the group.
  void Run(const GroupId& wanted, CommandMode mode, const std::string& command,
           std::function<void(absl::StatusOr<std::string>)> done);

 private:
  /// A command under way, told from its resends.
  struct Running {
    NodeId from;
    uint64_t id = 0;
    friend auto operator<=>(const Running&, const Running&) = default;  // NOLINT
  };

  void PassOn(const NodeId& from, GroupCommand command);
  void QueryCluster(const std::string& query,
                    std::function<void(absl::StatusOr<std::string>)> done);
  absl::StatusOr<std::string> AnswerQuery(const ClusterQuery& query) const;
  void Reply(const NodeId& to, const GroupCommand& command,
             const absl::StatusOr<std::string>& result);

  PeerTransport& transport_;
  ClusterReplica& cluster_;
  StreamHost& streams_;
  const MembershipManager& membership_;
  const NodeId self_;
  GroupHost* groups_ = nullptr;
  std::set<Running> running_;
  AliveFlag alive_;
};

}  // namespace millstair
