/// Sends this control node's own commands and queries to the leader of the cluster group, local or
/// remote.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/cluster_replica.h"
#include "cluster/command_service.h"
#include "cluster/control_client.h"
#include "common/alive_flag.h"

namespace millstair {

class ClusterSubmitter {
 public:
  using EncodedCallback = std::function<void(absl::StatusOr<std::string>)>;
  using ResultCallback = std::function<void(absl::StatusOr<ClusterResult>)>;

  /// `others` sends to the other control nodes.
  ClusterSubmitter(ClusterReplica& cluster, CommandService& commands,
                   std::unique_ptr<ControlClient> others)
      : cluster_(cluster), commands_(commands), others_(std::move(others)) {
    others_->SetKnownLeader([this](const GroupId& group) {
      return group == kClusterGroup ? cluster_.Leader() : std::nullopt;
    });
  }

  /// Runs `operation` exactly once, even if it has to be resent: without a session stamp of the
  /// caller it gets one of this node's session. DeadlineExceeded and Unavailable leave the outcome
  /// unknown.
  void Change(ClusterOperation operation, std::optional<SessionStamp> session, ResultCallback done);
  /// Runs an operation that tolerates repetition; it needs no session. Fails early if no leader is
  /// known, so that the caller can turn to another node.
  void ChangeRepeatable(ClusterOperation operation, ResultCallback done);
  void OpenSession(ResultCallback done);
  void Query(const std::string& query, EncodedCallback done);
  /// Messages of kind kCommandReply.
  void Receive(const NodeId& from, const PeerMessage& message) { others_->Receive(from, message); }

 private:
  struct Waiting {
    ClusterOperation operation;
    ResultCallback done;
  };

  /// Without a known leader, the command fails after `no_leader_timeout`.
  void Submit(CommandMode mode, const std::string& command, Duration no_leader_timeout,
              EncodedCallback done);
  void SubmitCommand(ClusterCommand command, Duration no_leader_timeout, ResultCallback done);
  void OpenOwnSession();

  ClusterReplica& cluster_;
  CommandService& commands_;
  std::unique_ptr<ControlClient> others_;
  ClientId own_session_;
  ClientSequence own_sequence_;
  std::vector<Waiting> waiting_;
  AliveFlag alive_;
};

}  // namespace millstair
