#include "bench/scale/control_cost.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "bench/scale/hollow_view.h"
#include "bench/scale/process_usage.h"

namespace millstair {
namespace {

/// Usage and counters at one moment.
struct CostReading {
  int64_t at_us = 0;
  HollowFleetState hollow;
  Duration hollow_time{0};
  uint64_t hollow_bytes_resident = 0;
  std::vector<ProcessUsage> control;
};

absl::StatusOr<CostReading> Read(BlockingCaller& caller, const ScaleOptions& options) {
  CostReading reading;
  auto hollow = ReadHollowFleet(caller, options.hollow);
  if (!hollow.ok()) return hollow.status();
  reading.hollow = *std::move(hollow);
  reading.at_us = SteadyMicroseconds();
  for (const HollowHostState& host : reading.hollow.hosts) {
    const auto usage = ReadProcessUsage(host.pid);
    if (!usage.ok()) return usage.status();
    reading.hollow_time += usage->processor_time;
    reading.hollow_bytes_resident += usage->resident_bytes;
  }
  for (const MeasuredProcess& process : options.control) {
    const auto usage = ReadProcessUsage(process.pid);
    reading.control.push_back(usage.ok() ? *usage : ProcessUsage{});
  }
  return reading;
}

constexpr double kMegabyte = 1e6;

}  // namespace

absl::StatusOr<ControlCost> MeasureControlCost(BlockingCaller& caller, const ScaleOptions& options,
                                               const std::function<absl::Status()>& during) {
  const auto before = Read(caller, options);
  if (!before.ok()) return before.status();
  const auto end = std::chrono::steady_clock::now() + options.window;
  if (const absl::Status ran = during(); !ran.ok()) return ran;
  std::this_thread::sleep_until(end);
  const auto after = Read(caller, options);
  if (!after.ok()) return after.status();

  const double seconds = static_cast<double>(after->at_us - before->at_us) / 1e6;
  const double nodes = static_cast<double>(std::max<size_t>(1, after->hollow.Nodes()));
  ControlCost cost;
  cost.node_core_share = ToSeconds(after->hollow_time - before->hollow_time) / seconds / nodes;
  cost.node_megabytes = static_cast<double>(after->hollow_bytes_resident) / kMegabyte / nodes;
  cost.node_bytes_per_second =
      static_cast<double>(after->hollow.Bytes() - before->hollow.Bytes()) / seconds / nodes;
  cost.node_messages_per_second =
      static_cast<double>(after->hollow.Messages() - before->hollow.Messages()) / seconds / nodes;
  for (size_t i = 0; i < after->control.size(); ++i) {
    const Duration used = after->control[i].processor_time - before->control[i].processor_time;
    cost.control_core_share_max = std::max(cost.control_core_share_max, ToSeconds(used) / seconds);
    cost.control_megabytes_max =
        std::max(cost.control_megabytes_max,
                 static_cast<double>(after->control[i].resident_bytes) / kMegabyte);
  }
  return cost;
}

}  // namespace millstair
