/// Handles group commands from other nodes: runs them if this node leads the group, otherwise
/// forwards them to the leader and its reply back to the sender.
#pragma once

#include <set>

#include "cluster/cluster_replica.h"
#include "cluster/control_messages.h"
#include "cluster/membership_manager.h"
#include "cluster/report_batch.h"
#include "cluster/stream_host.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "metering/clock_agreement.h"

namespace millstair {

class CommandService {
 public:
  CommandService(Environment& environment, PeerTransport& transport, ClusterReplica& cluster,
                 StreamHost& streams, const MembershipManager& membership, NodeId self);

  void Start(GroupHost& groups) { groups_ = &groups; }
  /// Handles a message of kind kCommand.
  void ReceiveCommand(const NodeId& from, const PeerMessage& message);
  /// Handles a message of kind kCommandReply. True if it was for another node and was forwarded.
  bool ForwardReply(const PeerMessage& message);
  /// The agreed time of the cluster; nullopt unless this node leads the cluster group and has
  /// samples of enough clocks.
  std::optional<WallTime> AgreedTime() const;
  /// `callback` runs for each report of a job group's leader that arrives while this node leads.
  void OnPoolReport(std::function<void(const PoolReport&)> callback) {
    on_pool_report_ = std::move(callback);
  }
  /// Runs a command of this node. Unavailable if it does not lead the group.
  void Run(const GroupId& wanted, CommandMode mode, const std::string& command,
           std::function<void(absl::StatusOr<std::string>)> done);

 private:
  /// A running command, to recognize its resends.
  struct Running {
    NodeId from;
    uint64_t id = 0;
    friend auto operator<=>(const Running&, const Running&) = default;  // NOLINT
  };

  void Forward(const NodeId& from, GroupCommand command);
  void ProposeToCluster(const std::string& command,
                        std::function<void(absl::StatusOr<std::string>)> done);
  /// Whether every live node can decode entries with several reports. On the leader only.
  bool CanGroupReports();
  void QueryCluster(const std::string& query,
                    std::function<void(absl::StatusOr<std::string>)> done);
  absl::StatusOr<std::string> AnswerQuery(const ClusterQuery& query) const;
  /// Adds a sample of the querying node's clock and returns the agreed time. Needs no confirmed
  /// read: a leader that does not know that it was deposed still has valid samples and its own
  /// steady clock.
  absl::StatusOr<std::string> AnswerTime(const ClusterQuery& query);
  void Reply(const NodeId& to, const GroupCommand& command,
             const absl::StatusOr<std::string>& result);

  Environment& environment_;
  PeerTransport& transport_;
  ClusterReplica& cluster_;
  StreamHost& streams_;
  const MembershipManager& membership_;
  ClockAgreement clock_;
  ReportBatch reports_;
  TimePoint level_queried_at_;
  bool can_group_reports_ = false;
  const NodeId self_;
  GroupHost* groups_ = nullptr;
  std::set<Running> running_;
  std::function<void(const PoolReport&)> on_pool_report_;
  AliveFlag alive_;
};

}  // namespace millstair
