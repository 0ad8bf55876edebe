/// Which reports of servers that are slow after their start tell something new. Such a server says
/// with each heartbeat how much longer it stays so; nodes count that down by themselves, so only
/// the first word of it, and one that says more than is left by the last, has to be committed.
#pragma once

#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor. Holds what came through this node alone: a first report
/// here is news, though another node may have had it committed; that only sets the count anew.
class ColdReports {
 public:
  /// Notes the report. `cold_left` 0 is never news.
  bool NeedsCommit(const InstanceId& instance, Duration cold_left, TimePoint now);

 private:
  void ForgetExpired(TimePoint now);

  /// Until when each is slow by its last report that was news.
  std::map<InstanceId, TimePoint> cold_until_;
};

}  // namespace millstair
