/// Faults of the network.
#include <set>
#include <vector>

#include "common/random.h"
#include "simulator/faults/fault_actions.h"

namespace millstair::simulator {
namespace {

using std::chrono::milliseconds;

void CutUntilHealed(FaultContext& fault, std::vector<Link> links) {
  Network& network = fault.world.network();
  network.Cut(links);
  fault.heal = [&network, links = std::move(links)] { network.Uncut(links); };
}

/// Links in both directions between `host` and each of `others`.
std::vector<Link> LinksAround(HostId host, const std::vector<HostId>& others) {
  std::vector<Link> links;
  for (const HostId other : others) {
    if (other == host) continue;
    links.push_back({host, other});
    links.push_back({other, host});
  }
  return links;
}

HostId PickHost(FaultContext& fault, const std::vector<HostId>& hosts) {
  return hosts[DrawBelow(fault.random, hosts.size())];
}

/// Picks two different hosts of nodes.
Link PickPair(FaultContext& fault) {
  std::vector<HostId> hosts = fault.world.NodeHosts();
  const HostId first = PickHost(fault, hosts);
  std::erase(hosts, first);
  return {first, PickHost(fault, hosts)};
}

void DisturbUntilHealed(FaultContext& fault, const LinkQuality& quality) {
  Network& network = fault.world.network();
  std::set<HostId> disturbed;
  const std::vector<HostId> hosts = fault.world.NodeHosts();
  const uint64_t count = 1 + DrawBelow(fault.random, hosts.size());
  for (uint64_t i = 0; i < count; ++i) disturbed.insert(PickHost(fault, hosts));
  for (const HostId host : disturbed) network.SetQuality(host, quality);
  fault.heal = [&network, disturbed] {
    for (const HostId host : disturbed) network.SetQuality(host, {});
  };
}

}  // namespace

void IsolateControl(FaultContext& fault) {
  // Clients still reach the machine, which must not serve stale state.
  const HostId host = fault.Pick(fault.world.controls()).host();
  CutUntilHealed(fault, LinksAround(host, fault.world.FleetHosts()));
}

void IsolateGateway(FaultContext& fault) {
  std::vector<HostId> controls;
  for (auto& control : fault.world.controls()) controls.push_back(control->host());
  CutUntilHealed(fault, LinksAround(fault.Pick(fault.world.gateways()).host(), controls));
}

void CutOneWay(FaultContext& fault) {
  if (DrawChance(fault.random, 0.5)) {
    CutUntilHealed(fault, {PickPair(fault)});
    return;
  }
  // All links from one node.
  const HostId host = PickHost(fault, fault.world.NodeHosts());
  std::vector<Link> links;
  for (const HostId other : fault.world.FleetHosts()) {
    if (other != host) links.push_back({host, other});
  }
  CutUntilHealed(fault, std::move(links));
}

void CutBothWays(FaultContext& fault) {
  const Link pair = PickPair(fault);
  CutUntilHealed(fault, {pair, {pair.to, pair.from}});
}

void CutZone(FaultContext& fault) {
  World& world = fault.world;
  const std::vector<Zone>& zones = world.plan().zones;
  const Zone zone = zones[DrawBelow(fault.random, zones.size())];
  const Zone clients = world.plan().latencies.clients;
  const bool also_clients = DrawChance(fault.random, 0.5);
  std::vector<Link> links;
  for (uint32_t a = 0; a < world.network().host_count(); ++a) {
    if (world.network().HostZone(HostId(a)) != zone) continue;
    for (uint32_t b = 0; b < world.network().host_count(); ++b) {
      const Zone& other = world.network().HostZone(HostId(b));
      if (other == zone || (other == clients && !also_clients)) continue;
      links.push_back({HostId(a), HostId(b)});
      links.push_back({HostId(b), HostId(a)});
    }
  }
  CutUntilHealed(fault, std::move(links));
}

void DelayMessages(FaultContext& fault) {
  const Duration delay = DrawDuration(fault.random, milliseconds(5), milliseconds(250));
  DisturbUntilHealed(fault, {.extra_delay = delay, .jitter = delay});
}

void ReorderMessages(FaultContext& fault) {
  DisturbUntilHealed(fault, {.jitter = milliseconds(40), .reorder = 0.5});
}

void DuplicateMessages(FaultContext& fault) {
  DisturbUntilHealed(fault, {.jitter = milliseconds(10), .duplicate = 0.3, .reorder = 0.1});
}

void LoseMessages(FaultContext& fault) { DisturbUntilHealed(fault, {.loss = 0.1}); }

}  // namespace millstair::simulator
