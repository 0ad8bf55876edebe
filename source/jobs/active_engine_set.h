/// The engines that the leader of a job group uses: all engines of a small service, as many as the
/// work needs of a large one, since the cost of a scheduling pass and the number of loads per
/// version grow with them.
///
/// Every leader ranks the engines in the same order, so a new leader uses those into which its
/// predecessor loaded weights. An engine that leaves or is lost is replaced by the next in that
/// order; a lost one stays selected, so that its return is noticed.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "common/environment.h"
#include "ingress/backend_directory.h"

namespace millstair {

/// Initial number of engines used for each service.
inline constexpr size_t kMinActiveEngines = 96;

/// Lives on the node's serial executor.
class ActiveEngineSet {
 public:
  using LostCheck = std::function<bool(const InstanceId&)>;

  ActiveEngineSet(const BackendDirectory& directory, Environment& environment, LostCheck is_lost)
      : directory_(directory), environment_(environment), is_lost_(std::move(is_lost)) {}

  /// Selects again among the live engines of `service`.
  void Refresh(const ServiceName& service);
  /// Adds a quarter more engines of `service` when work waits and none has a free slot. False if
  /// there are no more or the last growth was too recent.
  bool Grow(const ServiceName& service);
  /// The selected engines that are still live, ordered by identifier. Pointers are valid until the
  /// next update of the directory.
  std::vector<const BackendInstance*> Engines(const ServiceName& service) const;

 private:
  struct Chosen {
    /// Number of engines that are not lost.
    size_t wanted = kMinActiveEngines;
    std::vector<InstanceId> engines;
    TimePoint grown_at;
  };

  const BackendDirectory& directory_;
  Environment& environment_;
  const LostCheck is_lost_;
  std::map<ServiceName, Chosen> services_;
};

}  // namespace millstair
