#include "bench/demo/node_probe.h"

#include <charconv>
#include <thread>

namespace millstair {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1000);
/// Metric with the configuration revision: the one in use at a gateway, the one applied at a
/// control node.
constexpr const char* kGatewayRevision = "millstair_configuration_revision";
constexpr const char* kControlRevision = "millstair_cluster_revision";
constexpr int kOk = 200;

void ProbeOne(DemoRun& run, const FleetNode& node) {
  const uint64_t incarnation = run.IncarnationOf(node.name);
  const Duration at = run.clock().Now();
  const BlockingReply readiness = CallJson(run, node.address, "GET", "/readyz", "", kProbeTimeout);
  const bool ready = readiness.complete() && readiness.status == kOk;
  if (node.gateway) run.SetReady(node.name, ready);
  const BlockingReply page = CallJson(run, node.address, "GET", "/metrics", "", kProbeTimeout);
  const std::optional<double> revision =
      MetricValue(page.body, node.gateway ? kGatewayRevision : kControlRevision);
  if (!page.complete() || !revision || incarnation != run.IncarnationOf(node.name)) return;
  run.Record([&](checks::History& history) {
    history.configurations.push_back({NodeId(node.name), Incarnation(incarnation), at,
                                      Revision(static_cast<uint64_t>(*revision)),
                                      ready && node.gateway});
  });
}

}  // namespace

std::optional<double> MetricValue(const std::string& page, const std::string& name) {
  size_t begin = 0;
  while (begin < page.size()) {
    const size_t end = std::min(page.find('\n', begin), page.size());
    const std::string_view line(page.data() + begin, end - begin);
    begin = end + 1;
    if (!line.starts_with(name)) continue;
    const std::string_view rest = line.substr(name.size());
    if (rest.empty() || (rest.front() != ' ' && rest.front() != '{')) continue;
    const std::string_view text = line.substr(line.rfind(' ') + 1);
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec == std::errc()) return value;
  }
  return std::nullopt;
}

void ProbeNodes(DemoRun& run) {
  std::vector<std::thread> probes;
  for (const FleetNode& node : run.fleet().nodes) {
    probes.emplace_back([&run, &node] {
      while (!run.stopping()) {
        ProbeOne(run, node);
        run.Sleep(kProbeInterval);
      }
    });
  }
  for (std::thread& probe : probes) probe.join();
}

}  // namespace millstair
