#include "routing/observer_assignment.h"

#include <xxhash.h>

#include <algorithm>

namespace millstair {

uint64_t RendezvousWeight(std::string_view key, const NodeId& node) {
  const uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(node.value().data(), node.value().size(), seed);
}

std::vector<NodeId> RendezvousChoice(std::string_view key, const std::vector<NodeId>& nodes,
                                     size_t count) {
  struct Weighted {
    uint64_t weight = 0;
    const NodeId* node = nullptr;
  };
  std::vector<Weighted> weighted;
  weighted.reserve(nodes.size());
  for (const NodeId& node : nodes) weighted.push_back({RendezvousWeight(key, node), &node});
  const size_t taken = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(taken),
                    weighted.end(), [](const Weighted& a, const Weighted& b) {
                      return a.weight != b.weight ? a.weight > b.weight : *a.node < *b.node;
                    });
  std::vector<NodeId> chosen;
  for (size_t i = 0; i < taken; ++i) chosen.push_back(*weighted[i].node);
  return chosen;
}

ObserverAssignment::ObserverAssignment(const Configuration& configuration) {
  std::map<NodeId, Zone> zone_of;
  for (const auto& [id, node] : configuration.nodes) {
    if (!node.gateway || node.state != MemberState::kLive) continue;
    zones_[node.zone].push_back(id);
    all_.push_back(id);
    zone_of[id] = node.zone;
  }
  for (const auto& [key, resource] : configuration.resources) {
    const auto* engine = std::get_if<EngineSpec>(&resource.spec);
    if (engine == nullptr) continue;
    const auto* machine =
        configuration.FindSpec<MachineSpec>(ResourceKind::kMachine, engine->machine);
    Entry entry;
    if (machine != nullptr) entry.home = machine->zone;
    const std::vector<NodeId>& near = Gateways(entry.home);
    entry.observers =
        RendezvousChoice(resource.name, near.empty() ? all_ : near, kObserversPerEngine);
    if (near.empty() && !entry.observers.empty()) entry.home = zone_of[entry.observers.front()];
    engines_.emplace(EngineName(resource.name), std::move(entry));
  }
}

const std::vector<NodeId>& ObserverAssignment::Observers(const EngineName& engine) const {
  static const std::vector<NodeId> none;
  const auto found = engines_.find(engine);
  return found == engines_.end() ? none : found->second.observers;
}

const Zone& ObserverAssignment::HomeZone(const EngineName& engine) const {
  static const Zone none;
  const auto found = engines_.find(engine);
  return found == engines_.end() ? none : found->second.home;
}

const std::vector<NodeId>& ObserverAssignment::Gateways(const Zone& zone) const {
  static const std::vector<NodeId> none;
  const auto found = zones_.find(zone);
  return found == zones_.end() ? none : found->second;
}

}  // namespace millstair
