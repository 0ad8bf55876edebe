#include <fmt/core.h>

#include "bench/scale/scale_run.h"

namespace millstair {
namespace {

constexpr double kPercent = 100;

std::string CostLines(const char* name, const ControlCost& cost) {
  return fmt::format(
      "{}: per node {:.2f} % of a core, {:.1f} MB, {:.2f} KB/s, {:.1f} messages/s; "
      "busiest control machine {:.1f} % of a core, {:.0f} MB\n",
      name, kPercent * cost.node_core_share, cost.node_megabytes, cost.node_bytes_per_second / 1000,
      cost.node_messages_per_second, kPercent * cost.control_core_share_max,
      cost.control_megabytes_max);
}

std::string SpreadLine(const char* name, const TimeSpread& spread) {
  return fmt::format("{}: p50 {:.0f} ms, max {:.0f} ms ({} samples)\n", name, spread.p50_ms,
                     spread.max_ms, spread.samples);
}

}  // namespace

std::string ToText(const ScaleReport& report) {
  return fmt::format("{} nodes, {} servers; all ready after {:.1f} s\n", report.nodes,
                     report.servers, report.all_ready_s) +
         CostLines("steady", report.steady) + CostLines("changing", report.changing) +
         SpreadLine("change in force", report.in_force) +
         SpreadLine("publish to active", report.published) +
         SpreadLine("first active to active", report.activated) +
         SpreadLine("lost node seen", report.lost_node) +
         fmt::format(
             "leader killed: next change accepted after {:.0f} ms, in force after {:.0f} ms\n",
             report.leader_failover_ms, report.leader_failover_in_force_ms);
}

std::string ScaleCsvHeader() {
  return "nodes,servers,ready_s,node_core_percent,node_mb,node_bytes_s,node_messages_s,"
         "control_core_percent,control_mb,changing_node_core_percent,changing_node_bytes_s,"
         "in_force_p50_ms,in_force_max_ms,published_p50_ms,published_max_ms,activated_max_ms,"
         "lost_node_p50_ms,lost_node_max_ms,failover_ms,failover_in_force_ms\n";
}

std::string ToCsvRow(const ScaleReport& r) {
  return fmt::format(
      "{},{},{:.1f},{:.3f},{:.2f},{:.0f},{:.1f},{:.1f},{:.0f},{:.3f},{:.0f},{:.0f},{:.0f},{:.0f},"
      "{:.0f},{:.0f},{:.0f},{:.0f},{:.0f},{:.0f}\n",
      r.nodes, r.servers, r.all_ready_s, kPercent * r.steady.node_core_share,
      r.steady.node_megabytes, r.steady.node_bytes_per_second, r.steady.node_messages_per_second,
      kPercent * r.steady.control_core_share_max, r.steady.control_megabytes_max,
      kPercent * r.changing.node_core_share, r.changing.node_bytes_per_second, r.in_force.p50_ms,
      r.in_force.max_ms, r.published.p50_ms, r.published.max_ms, r.activated.max_ms,
      r.lost_node.p50_ms, r.lost_node.max_ms, r.leader_failover_ms, r.leader_failover_in_force_ms);
}

}  // namespace millstair
