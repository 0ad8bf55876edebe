/// Watches readiness and configuration revision of every node, as a load balancer and a monitoring
/// system would.
#pragma once

#include <optional>
#include <string>

#include "bench/demo/demo_run.h"

namespace millstair {

/// Probes until the run stops. Call on a thread of its own.
void ProbeNodes(DemoRun& run);

/// Value of the series `name` on a Prometheus page; none if absent.
std::optional<double> MetricValue(const std::string& page, const std::string& name);

}  // namespace millstair
