/// How many more slots the engines of a pool need for its jobs to be in time.
#pragma once

#include <vector>

#include "jobs/step_forecast.h"

namespace millstair {

/// Slots of the pool's mean pace that are missing now for the wanted groups of `jobs` to be
/// complete when they are due; 0 if none. `forecasts` are those of `jobs`, in their order. At most
/// the number of waiting items that the clients wait for, since each uses one slot. Jobs without a
/// due time need none.
double MissingSlots(const ForecastPool& pool, const std::vector<const ForecastJob*>& jobs,
                    const std::vector<const JobForecast*>& forecasts);

}  // namespace millstair
