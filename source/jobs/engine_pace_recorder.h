/// Keeps the paces of engines in the log of the job group, so that a new leader places long texts
/// at fast engines from its first scheduling pass.
#pragma once

#include <functional>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"
#include "jobs/engine_speed_tracker.h"
#include "jobs/job_state_machine.h"

namespace millstair {

/// Minimum time between two records. Paces are at most this old when a leader is lost.
inline constexpr Duration kPaceRecordInterval = std::chrono::seconds(2);

/// Lives on the node's serial executor, on the leader of the group.
class EnginePaceRecorder {
 public:
  /// Whether an engine still exists.
  using EngineCheck = std::function<bool(const InstanceId&)>;
  /// Calls back with whether all live nodes decode the record; see kEnginePacesLevel.
  using SupportCheck = std::function<void(std::function<void(bool)>)>;

  EnginePaceRecorder(Environment& environment, RaftGroup& group, const JobStateMachine& state,
                     EngineSpeedTracker& speeds, EngineCheck exists);

  void SetSupportCheck(SupportCheck check) { check_support_ = std::move(check); }
  /// Restores the recorded paces of existing engines, and records changes from now on. Returns the
  /// number of restored paces.
  size_t Start();
  void Stop();

 private:
  void ScheduleCheck();
  /// Proposes the paces if one changed, or an engine came or went.
  void Check();
  void Propose();
  std::vector<EnginePace> Paces() const;

  Environment& environment_;
  RaftGroup& group_;
  const JobStateMachine& state_;
  EngineSpeedTracker& speeds_;
  const EngineCheck exists_;
  SupportCheck check_support_ = [](const std::function<void(bool)>& done) { done(true); };
  bool running_ = false;
  /// Term of the leadership that it was started for.
  Term term_;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
