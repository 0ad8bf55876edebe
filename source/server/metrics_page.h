/// The page /metrics in Prometheus' text format.
#pragma once

#include <string>

#include "common/stats.h"

namespace millstair {

inline constexpr char kMetricsContentType[] = "text/plain; version=0.0.4; charset=utf-8";

/// Sets gauges of the process: resident memory, processor time.
void UpdateProcessStats(StatsRegistry& stats);
/// All stats as text.
std::string MetricsPage(const StatsRegistry& stats);

}  // namespace millstair
