/// Assigns keys to nodes by rendezvous hashing: everyone who knows the same nodes chooses the same
/// ones, and adding or removing a node only moves the keys of that node.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace millstair {

/// Weight of `node` for `key`; the nodes with the largest weights are chosen.
uint64_t RendezvousWeight(std::string_view key, const NodeId& node);

/// Candidate nodes with precomputed hashes, so that a choice hashes only the key.
class RendezvousNodes {
 public:
  RendezvousNodes() = default;
  explicit RendezvousNodes(const std::vector<NodeId>& nodes);

  bool empty() const { return nodes_.empty(); }
  /// The `count` nodes with the largest weights for `key`, largest first.
  std::vector<NodeId> Choose(std::string_view key, size_t count) const;

 private:
  struct Hashed {
    uint64_t hash = 0;
    NodeId node;
  };
  std::vector<Hashed> nodes_;
};

/// The `count` nodes with the largest weights for `key`, largest first.
std::vector<NodeId> RendezvousChoice(std::string_view key, const std::vector<NodeId>& nodes,
                                     size_t count);

}  // namespace millstair
