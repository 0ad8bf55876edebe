#include "jobs/job_clock_keeper.h"

#include "jobs/job_codec.h"

namespace millstair {
namespace {

/// After a time without a leader, the clock catches up by one step of the state machine per tick.
constexpr Duration kTick = std::chrono::seconds(1);
/// Well below the step of one command, so that the next command sets the right time.
constexpr Duration kMaxLag = std::chrono::seconds(20);
/// Ending an unknown job changes nothing but the clock. Clients' ids are header values, which have
/// no line break.
const JobId kNoJob("\n");

}  // namespace

JobClockKeeper::JobClockKeeper(Environment& environment, const JobStateMachine& state,
                               RaftGroup& group)
    : environment_(environment), state_(state), group_(group), timer_(environment) {}

void JobClockKeeper::Start() {
  busy_ = false;
  Tick();
}

bool JobClockKeeper::IsBehind() const {
  // The first command sets the clock.
  if (state_.clock() == WallTime()) return false;
  return environment_.WallNow() - state_.clock() > kMaxLag;
}

void JobClockKeeper::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  if (busy_ || !group_.IsLeader() || !IsBehind()) return;
  busy_ = true;
  // An existing command, which earlier builds apply alike.
  group_.Propose(EncodeJobCommand({EndJob{kNoJob, {}}, environment_.WallNow()}),
                 alive_.Guard([this](const absl::StatusOr<std::string>&) { busy_ = false; }));
}

}  // namespace millstair
