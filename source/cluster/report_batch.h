/// Groups the reports of back ends that reach the leader in a few milliseconds into one entry of
/// the log. 9,999 servers that register in six seconds were as many entries, each sent to nine
/// other replicas and answered by them: the leader had no time left for its heartbeats.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "cluster/cluster_replica.h"
#include "common/scoped_timer.h"

namespace millstair {

/// Lives on the node's serial executor, on any control node; used while it leads.
class ReportBatch {
 public:
  using Done = std::function<void(absl::StatusOr<std::string>)>;
  /// Whether every live node reads entries of several reports.
  using CanGroup = std::function<bool()>;

  ReportBatch(Environment& environment, ClusterReplica& cluster, CanGroup can_group)
      : environment_(environment),
        cluster_(cluster),
        can_group_(std::move(can_group)),
        timer_(environment) {}

  /// `done` hears the encoded result once the report is committed. One that comes alone is proposed
  /// at once.
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
