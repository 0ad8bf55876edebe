/// Polls readiness and configuration revision of every node, as a load balancer and a monitoring
/// system would.
#pragma once

#include <optional>
#include <string>

#include "bench/demo/demo_run.h"

namespace millstair {

/// Probes until the run stops. Blocks.
void ProbeNodes(DemoRun& run);

/// Value of the series `name` in Prometheus text format; nullopt if absent.
std::optional<double> MetricValue(const std::string& page, const std::string& name);

}  // namespace millstair
