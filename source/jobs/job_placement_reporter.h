/// Reports the replicas and the leader of a job group to the cluster group, so that every node
/// receives them with the configuration. Runs on the leader of the job group.
#pragma once

#include <functional>

#include "absl/status/status.h"
#include "cluster/cluster_commands.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"

namespace millstair {

/// Lives on the node's serial executor.
class JobPlacementReporter {
 public:
  /// Proposes a change to the cluster group; calls back once its outcome is known.
  using Propose = std::function<void(PlaceJobGroup, std::function<void(absl::Status)>)>;

  JobPlacementReporter(Environment& environment, NodeId self, Propose propose);

  /// Null while this node does not lead the group.
  void SetLeading(RaftGroup* group);

 private:
  void Tick();
  void Report(JobGroupPlacement placement);

  const NodeId self_;
  const Propose propose_;
  RaftGroup* group_ = nullptr;
  /// The last placement of this leadership that the cluster group acknowledged.
  JobGroupPlacement reported_;
  uint64_t sequence_ = 0;
  /// A proposal is in progress.
  bool busy_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
