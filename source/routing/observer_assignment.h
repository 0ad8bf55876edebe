/// Assigns observing gateways to engines by rendezvous hashing over the live gateways.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "cluster/configuration.h"
#include "common/ids.h"
#include "common/rendezvous.h"

namespace millstair {

inline constexpr size_t kObserversPerEngine = 2;

/// Computed from one configuration. Value type.
class ObserverAssignment {
 public:
  ObserverAssignment() = default;
  explicit ObserverAssignment(const Configuration& configuration);

  /// Observers of `engine`; the first one shares its reports with others. Empty if there is no live
  /// gateway.
  const std::vector<NodeId>& Observers(const EngineName& engine) const;
  /// Zone whose gateways observe `engine`: its own, or its first observer's if its own has no
  /// gateway.
  const Zone& HomeZone(const EngineName& engine) const;
  /// Live gateways of `zone`, sorted.
  const std::vector<NodeId>& Gateways(const Zone& zone) const;
  const std::map<Zone, std::vector<NodeId>>& zones() const { return zones_; }
  uint32_t gateway_count() const { return static_cast<uint32_t>(all_.size()); }

 private:
  struct Entry {
    std::vector<NodeId> observers;
    Zone home;
  };
  std::map<Zone, std::vector<NodeId>> zones_;
  std::vector<NodeId> all_;
  std::map<EngineName, Entry> engines_;
};

}  // namespace millstair
