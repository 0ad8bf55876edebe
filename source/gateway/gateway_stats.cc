#include "gateway/gateway_stats.h"

#include <utility>

namespace millstair {
namespace {

constexpr char kPrefix[] = "millstair_gateway_";

}  // namespace

void GatewayStats::AddCounter(const std::string& name, const std::string& help,
                              std::function<uint64_t()> read) {
  Counter& counter = registry_.NewCounter({kPrefix + name + "_total", help, "", ""});
  counters_.push_back({&counter, std::move(read), 0});
}

void GatewayStats::AddGauge(const std::string& name, const std::string& help,
                            std::function<double()> read) {
  gauges_.push_back({&registry_.NewGauge({kPrefix + name, help, "", ""}), std::move(read)});
}

void GatewayStats::Publish() {
  for (CounterEntry& entry : counters_) {
    const uint64_t value = entry.read();
    entry.counter->Add(value - entry.published);
    entry.published = value;
  }
  for (GaugeEntry& entry : gauges_) entry.gauge->Set(entry.read());
}

}  // namespace millstair
