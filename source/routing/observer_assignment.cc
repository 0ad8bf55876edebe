#include "routing/observer_assignment.h"

#include <algorithm>

namespace millstair {

ObserverAssignment::ObserverAssignment(const Configuration& configuration) {
  std::map<NodeId, Zone> zone_of;
  for (const auto& [id, node] : configuration.nodes) {
    if (!node.gateway || node.state != MemberState::kLive) continue;
    zones_[node.zone].push_back(id);
    all_.push_back(id);
    zone_of[id] = node.zone;
  }
  const RendezvousNodes all(all_);
  std::map<Zone, RendezvousNodes> by_zone;
  for (const auto& [zone, nodes] : zones_) by_zone.emplace(zone, RendezvousNodes(nodes));
  for (const auto& [key, resource] : configuration.resources) {
    const auto* engine = std::get_if<EngineSpec>(&resource.spec);
    if (engine == nullptr) continue;
    const auto* machine =
        configuration.FindSpec<MachineSpec>(ResourceKind::kMachine, engine->machine);
    Entry entry;
    if (machine != nullptr) entry.home = machine->zone;
    const auto near = by_zone.find(entry.home);
    const bool orphan = near == by_zone.end();
    entry.observers = (orphan ? all : near->second).Choose(resource.name, kObserversPerEngine);
    if (orphan && !entry.observers.empty()) entry.home = zone_of[entry.observers.front()];
    // Resources are sorted by name, so each entry is appended.
    engines_.emplace_hint(engines_.end(), EngineName(resource.name), std::move(entry));
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
