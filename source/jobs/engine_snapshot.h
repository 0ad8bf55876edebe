/// The engines as they stand at one look at the waiting items. Each look chooses an engine for many
/// items, and each choice considers every engine that holds the item's model: what is known of an
/// engine is gathered once a look, not once an item.
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

/// One engine as of the look.
struct SnapshotEngine {
  /// Valid until the directory is next updated.
  const BackendInstance* record = nullptr;
  /// Requests that it works on at once.
  uint32_t slots = 1;
  bool failed_lately = false;
  /// Without the prompt, which depends on the item.
  EngineOffer offer;

  bool HasFreeSlot() const { return offer.running < slots; }
};

/// An engine that may begin runs of a model.
struct EngineCandidate {
  /// Index of the engine on its board.
  size_t engine = 0;
  /// The weights that it is believed to hold.
  WeightVersion version;
};

/// Lives on the node's serial executor, for the length of one look.
class EngineSnapshot {
 public:
  EngineSnapshot(BackendDirectory& directory, const LoadScheduler& loads,
                 const EngineSpeedTracker& speeds, TimePoint now);

  /// Engines of `service` that neither load `model` nor are about to, with the version that each
  /// holds (0 is unknown); in the order of their identifiers. Those that failed lately are taken
  /// only if there is nothing else: after an outage of all of them each was passed over for 30 s
  /// more.
  const std::vector<EngineCandidate>& CandidatesFor(const ServiceName& service,
                                                    const ModelName& model);
  const SnapshotEngine& engine(size_t index) const { return engines_[index]; }

  /// A run was begun at an engine of this board, or ended by this node.
  void OnRunStarted(const InstanceId& instance);
  void OnRunEnded(const InstanceId& instance);

 private:
  using Key = std::pair<ServiceName, ModelName>;

  /// Indexes of the engines of `service`, which are gathered at first use.
  const std::vector<size_t>& EnginesOf(const ServiceName& service);
  /// Places of `engine` that may be taken now, those of what runs there included.
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
