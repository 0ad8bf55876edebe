/// Commands of other nodes for a group: served if this node leads the group, else passed on to the
/// leader, whose reply comes back this way.
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
  /// A message of kind kCommand.
  void ReceiveCommand(const NodeId& from, const PeerMessage& message);
  /// A message of kind kCommandReply; whether it was bound for another node and passed on.
  bool ForwardReply(const PeerMessage& message);
  /// The cluster's time as this node keeps it; none unless it leads the cluster group and has heard
  /// of enough clocks.
  std::optional<WallTime> AgreedTime() const;
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

  void Forward(const NodeId& from, GroupCommand command);
  void ProposeToCluster(const std::string& command,
                        std::function<void(absl::StatusOr<std::string>)> done);
  /// Whether every live node reads entries of several reports. On the leader only.
  bool CanGroupReports();
  void QueryCluster(const std::string& query,
                    std::function<void(absl::StatusOr<std::string>)> done);
  absl::StatusOr<std::string> AnswerQuery(const ClusterQuery& query) const;
  /// Notes the asking node's clock and tells the agreed time. Needs no confirmed read: a leader
  /// that was deposed unawares still has the clocks that it heard, and its own steady clock.
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
  AliveFlag alive_;
};

}  // namespace millstair
