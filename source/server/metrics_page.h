/// The metrics page in the Prometheus text format.
#pragma once

#include <string>

#include "common/stats.h"

namespace millstair {

inline constexpr char kMetricsContentType[] = "text/plain; version=0.0.4; charset=utf-8";

/// Updates the process metrics: resident memory and CPU time.
void UpdateProcessStats(StatsRegistry& stats);
std::string MetricsPage(const StatsRegistry& stats);

}  // namespace millstair
