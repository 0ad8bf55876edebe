/// Takes the cost of control over a window from the processes' usage and the hollow hosts'
/// counters.
#pragma once

#include "absl/status/statusor.h"
#include "bench/scale/scale_run.h"

namespace millstair {

/// Measures for `options.window`, running `during` meanwhile.
absl::StatusOr<ControlCost> MeasureControlCost(BlockingCaller& caller, const ScaleOptions& options,
                                               const std::function<absl::Status()>& during);

}  // namespace millstair
