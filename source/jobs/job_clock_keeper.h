/// Keeps the clock of a job group near the time of day while nobody submits a command: it advances
/// only with commands, and by a bounded step with each. Without, the first job after a quiet time
/// would be dated to the past, and expire early. Runs on the leader of the group.
#pragma once

#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"
#include "jobs/job_state_machine.h"

namespace millstair {

/// Lives on the node's serial executor.
class JobClockKeeper {
 public:
  /// `group` and its state machine `state` outlive the keeper.
  JobClockKeeper(Environment& environment, const JobStateMachine& state, RaftGroup& group);

  void Start();
  void Stop() { timer_.Cancel(); }

 private:
  void Tick();
  /// Whether the clock is further behind than an idle group may be.
  bool IsBehind() const;

  Environment& environment_;
  const JobStateMachine& state_;
  RaftGroup& group_;
  /// A command is in progress.
  bool busy_ = false;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
