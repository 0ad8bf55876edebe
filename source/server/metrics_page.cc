#include "server/metrics_page.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <limits>
#include <map>
#include <vector>

namespace millstair {
namespace {

prometheus::ClientMetric MetricOf(const StatSample& sample) {
  prometheus::ClientMetric metric;
  if (!sample.name.label.empty()) {
    metric.label.push_back({sample.name.label, sample.name.label_value});
  }
  metric.counter.value = sample.value;
  metric.gauge.value = sample.value;
  return metric;
}

prometheus::ClientMetric MetricOf(const HistogramSample& sample) {
  prometheus::ClientMetric metric;
  if (!sample.name.label.empty()) {
    metric.label.push_back({sample.name.label, sample.name.label_value});
  }
  const Histogram& histogram = *sample.histogram;
  uint64_t cumulative = 0;
  for (size_t bucket = 0; bucket <= Histogram::kBounds.size(); ++bucket) {
    cumulative += histogram.count(bucket);
    const bool last = bucket == Histogram::kBounds.size();
    const double bound =
        last ? std::numeric_limits<double>::infinity() : Histogram::kBounds[bucket];
    metric.histogram.bucket.push_back({cumulative, bound});
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = histogram.sum();
  return metric;
}

double Seconds(const timeval& time) {
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(time.tv_sec) + kMicrosecond * static_cast<double>(time.tv_usec);
}

}  // namespace

void UpdateProcessStats(StatsRegistry& stats) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  stats.NewGauge({"process_cpu_seconds_total", "Processor time used by this process."})
      .Set(Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  std::ifstream statm("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    stats.NewGauge({"process_resident_memory_bytes", "Resident memory of this process."})
        .Set(static_cast<double>(resident_pages) * static_cast<double>(::sysconf(_SC_PAGESIZE)));
  }
}

std::string MetricsPage(const StatsRegistry& stats) {
  // The text format requires all series of a metric to be adjacent.
  std::map<std::string, prometheus::MetricFamily> families;
  for (const StatSample& sample : stats.Read()) {
    prometheus::MetricFamily& family = families[sample.name.name];
    family.name = sample.name.name;
    if (family.help.empty()) family.help = sample.name.help;
    family.type = sample.counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    family.metric.push_back(MetricOf(sample));
  }
  for (const HistogramSample& sample : stats.ReadHistograms()) {
    prometheus::MetricFamily& family = families[sample.name.name];
    family.name = sample.name.name;
    if (family.help.empty()) family.help = sample.name.help;
    family.type = prometheus::MetricType::Histogram;
    family.metric.push_back(MetricOf(sample));
  }
  std::vector<prometheus::MetricFamily> list;
  list.reserve(families.size());
  for (auto& [name, family] : families) list.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(list);
}

}  // namespace millstair
