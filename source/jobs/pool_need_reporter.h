/// Reports what the jobs of a group need of services whose servers can be ordered, to the leader of
/// the cluster group. Runs on the leader of the job group.
#pragma once

#include <functional>
#include <vector>

#include "absl/status/status.h"
#include "cluster/cluster_commands.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"

namespace millstair {

/// Between two reports while a job is expected to be late: servers are ordered after a second of
/// them.
inline constexpr Duration kLateReportInterval = std::chrono::milliseconds(500);
/// Between two reports otherwise; less than half of the time after which a report counts as absent.
inline constexpr Duration kCalmReportInterval = std::chrono::seconds(2);

/// Lives on the node's serial executor.
class PoolNeedReporter {
 public:
  /// Sends the report to the leader of the cluster group; calls back once its outcome is known.
  using Send = std::function<void(ReportPoolNeeds, std::function<void(absl::Status)>)>;
  /// The present needs; empty if there is nothing to report.
  using Collect = std::function<std::vector<PoolNeed>()>;

  PoolNeedReporter(Environment& environment, Collect collect, Send send);

  /// Null while this node does not lead the group.
  void SetLeading(RaftGroup* group);

 private:
  void Tick();

  Environment& environment_;
  const Collect collect_;
  const Send send_;
  RaftGroup* group_ = nullptr;
  uint64_t sequence_ = 0;
  TimePoint next_calm_report_at_;
  /// A report is in progress.
  bool busy_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
