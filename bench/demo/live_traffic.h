/// Open-loop live traffic: completions, pages, lookups and bookings at constant rates.
#pragma once

#include "bench/demo/demo_run.h"
#include "bench/load/latency_histogram.h"

namespace millstair {

/// Latencies of complete calls, measured from their due time.
struct LiveLatencies {
  LatencyHistogram completions;
  LatencyHistogram plain;
};

/// Generates traffic until the run stops, at most for `length`. Blocks.
void RunLiveTraffic(DemoRun& run, Duration length, LiveLatencies& latencies);

}  // namespace millstair
