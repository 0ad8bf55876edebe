/// Publishes a gateway's metrics.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "common/stats.h"

namespace millstair {

/// Copies counters, which the gateway's classes keep as plain numbers, into a registry. Lives on
/// the node's serial executor; the registry may be read from any thread.
class GatewayStats {
 public:
  explicit GatewayStats(StatsRegistry& registry) : registry_(registry) {}

  /// Adds a monotonic counter read by `read`. `name` gets the prefix "millstair_gateway_".
  void AddCounter(const std::string& name, const std::string& help, std::function<uint64_t()> read);
  void AddGauge(const std::string& name, const std::string& help, std::function<double()> read);
  /// Copies the current values into the registry.
  void Publish();

 private:
  struct CounterEntry {
    Counter* counter = nullptr;
    std::function<uint64_t()> read;
    uint64_t published = 0;
  };
  struct GaugeEntry {
    Gauge* gauge = nullptr;
    std::function<double()> read;
  };

  StatsRegistry& registry_;
  std::vector<CounterEntry> counters_;
  std::vector<GaugeEntry> gauges_;
};

}  // namespace millstair
