/// The router's knowledge of one back end.
#pragma once

#include <string>

#include "cluster/configuration.h"
#include "common/ids.h"
#include "common/time.h"
#include "limits/concurrency_limit.h"
#include "limits/rollout_share.h"
#include "resources/resource.h"
#include "routing/lagged_load.h"
#include "routing/outlier_ejection.h"
#include "routing/step_time_model.h"

namespace millstair {

struct EngineView {
  EngineName name;
  std::string address;
  EngineType type = EngineType::kModel;
  /// Zone whose gateways observe it: its machine's, or that of the substitute gateways if its
  /// machine's zone has none.
  Zone zone;
  /// Merged state from the configuration.
  MemberState state = MemberState::kGone;
  /// The engine reported that it is leaving; may be newer than the configuration.
  bool reported_leaving = false;
  /// Its weights are not those published; it gets no work.
  bool weights_uncertain = false;
  TimePoint leaving_reported_at;

  LaggedLoad load;
  StepTimeModel step_time;
  OutlierEjection ejection;
  RolloutShare rollout_share;
  /// Live requests of this gateway in progress there.
  uint32_t live_outstanding = 0;
  /// Since when it serves with its current incarnation and weights; for slow start.
  TimePoint serving_since;
  bool slow_starting = false;

  /// Plain back ends: smoothed latency, and the limit on concurrent requests.
  double answer_seconds = 0;
  ConcurrencyLimit concurrency{ConcurrencyLimitOptions{.initial = 32}};

  /// Takes no work, whatever its load: leaving, or gone.
  bool Leaving() const { return state != MemberState::kLive || reported_leaving; }
};

}  // namespace millstair
