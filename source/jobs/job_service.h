/// Serves commands and queries of other nodes for a job group. The leader executes commands, every
/// replica answers queries. A node that can't serve a call replies with the leader, if it knows
/// one.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>

#include "absl/status/statusor.h"
#include "cluster/control_messages.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"
#include "jobs/job_state_machine.h"

namespace millstair {

/// Lives on the node's serial executor.
class JobService {
 public:
  /// `placed_leader` returns the leader of the group according to the configuration; may be empty.
  JobService(
      Environment& environment, PeerTransport& transport,
      std::function<NodeId()> placed_leader = [] { return NodeId(); });

  /// Sets the group's replica on this node; null if there is none.
  void Attach(RaftGroup* group, const JobStateMachine* state);
  /// Handles a message of kind kCommand for the group.
  void Receive(const NodeId& from, const PeerMessage& message);
  /// The state machine applied a change; held queries are answered from a timer.
  void OnStateChange(const JobId& job);

 private:
  using Callback = std::function<void(absl::StatusOr<std::string>)>;
  /// Identifies a command in progress, to recognize its resends.
  struct CommandKey {
    NodeId from;
    uint64_t id = 0;
    friend auto operator<=>(const CommandKey&, const CommandKey&) = default;  // NOLINT
  };
  struct HeldQuery {
    explicit HeldQuery(Environment& environment) : limit(environment) {}
    JobQuery query;
    Callback done;
    ScopedTimer limit;
  };

  void Propose(const std::string& bytes, Callback done);
  void Query(const std::string& bytes, Callback done);
  void AnswerOrHold(const JobQuery& query, Callback done);
  JobQueryAnswer AnswerOf(const JobQuery& query) const;
  void AnswerChanged();
  /// According to the replica on this node or else the configuration; empty if unknown.
  NodeId KnownLeader() const;
  void Reply(const NodeId& to, uint64_t id, const absl::StatusOr<std::string>& result);

  Environment& environment_;
  PeerTransport& transport_;
  const std::function<NodeId()> placed_leader_;
  RaftGroup* group_ = nullptr;
  const JobStateMachine* state_ = nullptr;
  std::set<CommandKey> running_;
  std::list<HeldQuery> held_;
  std::set<JobId> changed_;
  ScopedTimer change_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
