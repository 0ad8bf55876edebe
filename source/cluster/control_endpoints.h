/// The control nodes that a node knows: the one in use, and the order in which others are sent.
#pragma once

#include <vector>

#include "cluster/configuration_client.h"
#include "common/environment.h"

namespace millstair {

/// Those of the own zone stand first, then the others, last those that the configuration does not
/// hold or calls gone: its word may be wrong, and they are sent before nobody is. Within each part
/// the order is random, so that nodes of one zone spread over its control nodes, and one that falls
/// silent is not followed by the same other one everywhere. Not empty once it was not.
class ControlEndpoints {
 public:
  ControlEndpoints(std::vector<ControlEndpoint> endpoints, Zone own_zone, RandomEngine& random);

  bool empty() const { return ordered_.empty(); }
  size_t size() const { return ordered_.size(); }
  /// Undefined if empty.
  const ControlEndpoint& current() const { return ordered_[current_].endpoint; }
  /// In the order in which they are sent.
  std::vector<ControlEndpoint> all() const;

  /// Takes over what the configuration says of control nodes; the one in use stays in use. Whether
  /// anything is new.
  bool Update(const std::vector<ControlEndpoint>& known, RandomEngine& random);

  /// Uses another one; a node that is not known changes nothing.
  void Choose(const NodeId& node);
  /// True if the one in use is of another zone although the own zone has one.
  bool InForeignZone() const;
  bool IsInOwnZone(const NodeId& node) const;

  /// The first to ask when the one in use is silent; then one after another, from the first again
  /// after the last.
  const ControlEndpoint& FirstCandidate();
  const ControlEndpoint& NextCandidate();
  /// One of the own zone, another at each call. Undefined if there is none.
  const ControlEndpoint& NextOfOwnZone();

 private:
  /// Parts of the order.
  enum class Rank : uint8_t { kOwnZone, kOtherZone, kNotInConfiguration };

  struct Entry {
    ControlEndpoint endpoint;
    bool in_configuration = true;
  };

  Rank RankOf(const Entry& entry) const;
  size_t OwnZoneCount() const;
  Entry* Find(const NodeId& node);
  /// Sorts by rank and keeps the one in use.
  void Sort();

  Zone own_zone_;
  std::vector<Entry> ordered_;
  size_t current_ = 0;
  size_t candidate_ = 0;
  size_t own_zone_candidate_ = 0;
};

}  // namespace millstair
