#include "routing/observer_assignment.h"

#include <xxhash.h>

#include <algorithm>

namespace millstair {

namespace {

uint64_t HashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// Mixes both hashes so that the order of the nodes differs from key to key.
uint64_t WeightOf(uint64_t key_hash, uint64_t node_hash) {
  constexpr uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9;
  constexpr uint64_t kSecondMultiplier = 0x94d049bb133111eb;
  uint64_t weight = key_hash ^ node_hash;
  weight = (weight ^ (weight >> 30)) * kFirstMultiplier;
  weight = (weight ^ (weight >> 27)) * kSecondMultiplier;
  return weight ^ (weight >> 31);
}

}  // namespace

uint64_t RendezvousWeight(std::string_view key, const NodeId& node) {
  return WeightOf(HashOf(key), HashOf(node.value()));
}

RendezvousNodes::RendezvousNodes(const std::vector<NodeId>& nodes) {
  nodes_.reserve(nodes.size());
  for (const NodeId& node : nodes) nodes_.push_back({HashOf(node.value()), node});
}

std::vector<NodeId> RendezvousNodes::Choose(std::string_view key, size_t count) const {
  struct Weighted {
    uint64_t weight = 0;
    const NodeId* node = nullptr;
  };
  const auto heavier = [](const Weighted& a, const Weighted& b) {
    return a.weight != b.weight ? a.weight > b.weight : *a.node < *b.node;
  };
  const uint64_t key_hash = HashOf(key);
  // Sorted, heaviest first; `count` is small, so insertion beats sorting all nodes.
  std::vector<Weighted> heaviest;
  heaviest.reserve(count + 1);
  for (const Hashed& hashed : nodes_) {
    const Weighted candidate{WeightOf(key_hash, hashed.hash), &hashed.node};
    if (heaviest.size() == count && !heavier(candidate, heaviest.back())) continue;
    heaviest.insert(std::upper_bound(heaviest.begin(), heaviest.end(), candidate, heavier),
                    candidate);
    if (heaviest.size() > count) heaviest.pop_back();
  }
  std::vector<NodeId> chosen;
  for (const Weighted& weighted : heaviest) chosen.push_back(*weighted.node);
  return chosen;
}

std::vector<NodeId> RendezvousChoice(std::string_view key, const std::vector<NodeId>& nodes,
                                     size_t count) {
  return RendezvousNodes(nodes).Choose(key, count);
}

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
    // Resources are sorted by name, so each entry goes to the end.
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
