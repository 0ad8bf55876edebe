/// State of the engines during one scheduling pass. A pass chooses engines for many items, and each
/// choice considers every engine with the item's model, so the state is collected once per pass.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "cluster/configuration.h"
#include "common/ids.h"
#include "ingress/backend_directory.h"
#include "jobs/engine_speed_tracker.h"
#include "jobs/load_scheduler.h"
#include "jobs/placement.h"

namespace millstair {

/// One engine as of the scheduling pass.
struct SnapshotEngine {
  /// Valid until the next update of the directory.
  const BackendInstance* record = nullptr;
  /// Maximum number of concurrent runs.
  uint32_t slots = 1;
  bool failed_lately = false;
  PaceForecast pace;
  /// `has_prompt_cached` is not set, since it depends on the item. `seconds_per_event` is that of a
  /// text of common length.
  EngineOffer offer;

  bool HasFreeSlot() const { return offer.running < slots; }
};

/// An engine that may start runs of a model.
struct EngineCandidate {
  /// Index of the engine in its snapshot.
  size_t engine = 0;
  /// Its last known version; 0 if unknown.
  WeightVersion version;
};

/// Lives on the node's serial executor, for one scheduling pass.
class EngineSnapshot {
 public:
  EngineSnapshot(BackendDirectory& directory, const LoadScheduler& loads,
                 const EngineSpeedTracker& speeds, TimePoint now);

  /// Engines of `service` that neither load `model` nor are reserved to, ordered by identifier.
  /// Engines that failed lately are included only if there are no others, so that items don't wait
  /// for the end of the ejection after an outage of all engines.
  const std::vector<EngineCandidate>& CandidatesFor(const ServiceName& service,
                                                    const ModelName& model);
  const SnapshotEngine& engine(size_t index) const { return engines_[index]; }

  /// This node started or ended a run at an engine of this snapshot.
  void OnRunStarted(const InstanceId& instance);
  void OnRunEnded(const InstanceId& instance);

 private:
  using Key = std::pair<ServiceName, ModelName>;

  /// Indexes of the engines of `service`, collected on first use.
  const std::vector<size_t>& EnginesOf(const ServiceName& service);
  /// Slots of `engine` that may be used now, including those in use.
  uint32_t UsableSlots(const BackendInstance& engine, uint32_t running);
  SnapshotEngine* Find(const InstanceId& instance);

  BackendDirectory& directory_;
  const LoadScheduler& loads_;
  const EngineSpeedTracker& speeds_;
  const TimePoint now_;
  std::vector<SnapshotEngine> engines_;
  std::map<ServiceName, std::vector<size_t>> by_service_;
  std::map<Key, std::vector<EngineCandidate>> candidates_;
};

}  // namespace millstair
