/// Groups back-end reports that reach the leader within a few milliseconds into one log entry, so
/// that thousands of servers that register together don't delay the leader's heartbeats.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "cluster/cluster_replica.h"
#include "common/scoped_timer.h"

namespace millstair {

/// Lives on the node's serial executor; used only while the control node leads.
class ReportBatch {
 public:
  using Done = std::function<void(absl::StatusOr<std::string>)>;
  /// Whether every live node can decode entries with several reports.
  using CanGroup = std::function<bool()>;

  ReportBatch(Environment& environment, ClusterReplica& cluster, CanGroup can_group)
      : environment_(environment),
        cluster_(cluster),
        can_group_(std::move(can_group)),
        timer_(environment) {}

  /// `done` gets the encoded result once the report is committed. A single report is proposed at
  /// once.
  void Add(BackendInstance report, Done done);

 private:
  void Flush();
  void Propose(ClusterOperation operation, std::vector<Done> done);

  Environment& environment_;
  ClusterReplica& cluster_;
  const CanGroup can_group_;
  std::vector<BackendInstance> reports_;
  std::vector<Done> done_;
  TimePoint next_at_;
  ScopedTimer timer_;
};

}  // namespace millstair
