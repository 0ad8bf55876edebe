/// Decides which slow-start reports must be committed. A cold server reports the remaining
/// slow-start period with each heartbeat. Nodes count it down themselves, so only the first report
/// and one that extends the period need a commit.
#pragma once

#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor. Knows only reports received by this node: its first one is
/// committed even if another node had one committed, which only restarts the countdown.
class ColdReports {
 public:
  /// Records the report. Always false for a `cold_left` of 0.
  bool NeedsCommit(const InstanceId& instance, Duration cold_left, TimePoint now);

 private:
  void ForgetExpired(TimePoint now);

  /// End of the slow-start period by instance, from its last report that needed a commit.
  std::map<InstanceId, TimePoint> cold_until_;
};

}  // namespace millstair
