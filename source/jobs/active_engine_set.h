/// The engines that the leader of the batch jobs works with: all of a small service, of a large one
/// as many as the work needs. What each look at the waiting items costs grows with them, and so do
/// the loads of each version.
///
/// Every leader chooses by the same order, so the next one finds the weights where the last one had
/// them loaded. An engine that leaves gives way to the next in that order.
#pragma once

#include <map>
#include <vector>

#include "common/environment.h"
#include "ingress/backend_directory.h"

namespace millstair {

/// So many engines are worked with at the least. With six places each they hold some 570 runs, four
/// times what eight trainers of 120 texts each four seconds keep under way.
inline constexpr size_t kMinActiveEngines = 96;

/// Lives on the node's serial executor.
class ActiveEngineSet {
 public:
  ActiveEngineSet(const BackendDirectory& directory, Environment& environment)
      : directory_(directory), environment_(environment) {}

  /// Chooses anew among the live engines of `service`.
  void Refresh(const ServiceName& service);
  /// Work for engines of `service` waits and none of them has room: more are taken in, a quarter at
  /// a time. Whether there were any.
  bool Grow(const ServiceName& service);
  /// Those that are still live, in the order of their identifiers. Pointers are valid until the
  /// directory is next updated.
  std::vector<const BackendInstance*> Engines(const ServiceName& service) const;

 private:
  struct Chosen {
    size_t wanted = kMinActiveEngines;
    std::vector<InstanceId> engines;
    TimePoint grown_at;
  };

  const BackendDirectory& directory_;
  Environment& environment_;
  std::map<ServiceName, Chosen> services_;
};

}  // namespace millstair
