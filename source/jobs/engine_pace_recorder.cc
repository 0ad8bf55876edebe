#include "jobs/engine_pace_recorder.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace millstair {
namespace {

/// Smaller changes are within the noise of a measured pace.
constexpr double kMinChange = 0.15;
/// Bound on the size of a record and of the snapshot; about 40 bytes each.
constexpr size_t kMaxRecordedEngines = 4096;

bool Differs(const std::vector<EnginePace>& recorded, const std::vector<EnginePace>& measured) {
  const auto same = [](const EnginePace& a, const EnginePace& b) {
    const double before = ToSeconds(a.per_event);
    return a.engine == b.engine && std::abs(ToSeconds(b.per_event) - before) <= kMinChange * before;
  };
  return !std::equal(recorded.begin(), recorded.end(), measured.begin(), measured.end(), same);
}

}  // namespace

EnginePaceRecorder::EnginePaceRecorder(Environment& environment, RaftGroup& group,
                                       const JobStateMachine& state, EngineSpeedTracker& speeds,
                                       EngineCheck exists)
    : environment_(environment),
      group_(group),
      state_(state),
      speeds_(speeds),
      exists_(std::move(exists)),
      timer_(environment) {}

size_t EnginePaceRecorder::Start() {
  std::map<InstanceId, double> seconds;
  for (const EnginePace& pace : state_.engine_paces()) {
    if (exists_(pace.engine)) seconds[pace.engine] = ToSeconds(pace.per_event);
  }
  speeds_.Restore(seconds);
  running_ = true;
  term_ = group_.CurrentTerm();
  ScheduleCheck();
  return seconds.size();
}

void EnginePaceRecorder::Stop() {
  running_ = false;
  timer_.Cancel();
}

void EnginePaceRecorder::ScheduleCheck() {
  timer_.Arm(kPaceRecordInterval, [this] { Check(); });
}

void EnginePaceRecorder::Check() {
  speeds_.RemoveUnless(exists_);
  if (!Differs(state_.engine_paces(), Paces())) return ScheduleCheck();
  check_support_(alive_.Guard([this, term = term_](bool supported) {
    if (!running_ || term_ != term) return;
    if (supported) Propose();
    ScheduleCheck();
  }));
}

void EnginePaceRecorder::Propose() {
  const JobCommand command{RecordEnginePaces{Paces()}, environment_.WallNow()};
  // If it is not committed, the next check finds the same difference.
  group_.Propose(EncodeJobCommand(command), [](const absl::StatusOr<std::string>&) {});
}

std::vector<EnginePace> EnginePaceRecorder::Paces() const {
  std::vector<EnginePace> paces;
  for (const auto& [engine, measured] : speeds_.known_seconds()) {
    if (paces.size() >= kMaxRecordedEngines) break;
    // The pace of an engine whose events arrive together is not 0.
    paces.push_back({engine, std::max(Duration(1), FromSeconds(measured))});
  }
  return paces;
}

}  // namespace millstair
