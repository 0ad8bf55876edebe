#include "common/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace millstair {
namespace {

uint64_t HashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// Mixes both hashes, so that the order of the nodes differs between keys.
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
  // Sorted by descending weight; `count` is small, so insertion is faster than sorting all nodes.
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

}  // namespace millstair
