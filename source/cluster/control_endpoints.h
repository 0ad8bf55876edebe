/// The control nodes known to a node: the one in use, and the order in which others are contacted.
#pragma once

#include <vector>

#include "cluster/configuration_client.h"
#include "common/environment.h"

namespace millstair {

/// Control nodes of the own zone come first, then other zones, then those that the configuration
/// does not contain or marks as gone: the configuration may be wrong, so they remain as a last
/// resort. Within each rank the order is random, so that the nodes of a zone spread over its
/// control nodes, also after one of them fails. Never becomes empty again.
class ControlEndpoints {
 public:
  ControlEndpoints(std::vector<ControlEndpoint> endpoints, Zone own_zone, RandomEngine& random);

  bool empty() const { return ordered_.empty(); }
  size_t size() const { return ordered_.size(); }
  /// Undefined if empty.
  const ControlEndpoint& current() const { return ordered_[current_].endpoint; }
  /// In the order in which they are contacted.
  std::vector<ControlEndpoint> all() const;

  /// Applies the control nodes of the configuration; the one in use stays in use. Returns whether
  /// anything changed.
  bool Update(const std::vector<ControlEndpoint>& known, RandomEngine& random);

  /// Uses another one; an unknown node is ignored.
  void Choose(const NodeId& node);
  /// True if the one in use is in another zone although the own zone has one.
  bool InForeignZone() const;
  bool IsInOwnZone(const NodeId& node) const;

  /// The first to contact when the one in use is unresponsive; then the next ones in a cycle.
  const ControlEndpoint& FirstCandidate();
  const ControlEndpoint& NextCandidate();
  /// One of the own zone, in rotation. Undefined if there is none.
  const ControlEndpoint& NextOfOwnZone();

 private:
  enum class Rank : uint8_t { kOwnZone, kOtherZone, kNotInConfiguration };

  struct Entry {
    ControlEndpoint endpoint;
    bool in_configuration = true;
  };

  Rank RankOf(const Entry& entry) const;
  size_t OwnZoneCount() const;
  Entry* Find(const NodeId& node);
  /// Sorts by rank; the one in use stays in use.
  void Sort();

  Zone own_zone_;
  std::vector<Entry> ordered_;
  size_t current_ = 0;
  size_t candidate_ = 0;
  size_t own_zone_candidate_ = 0;
};

}  // namespace millstair
