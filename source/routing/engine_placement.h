/// Places rollout attempts on engines: the part of routing that rollout code uses.
///
/// The gateway's router implements it, so that live requests and rollouts share one view of the
/// engines' load.
#pragma once

#include <cstdint>
#include <optional>

#include "common/ids.h"
#include "common/time.h"
#include "engine/engine_types.h"
#include "resources/resource.h"
#include "routing/router.h"

namespace millstair {

/// Handle of a placement; 0 is none.
using PlacementId = StrongId<struct PlacementIdTag, uint64_t>;

/// Work that is counted as sent to an engine.
struct Placement {
  PlacementId id;
  RoutingChoice choice;
};

enum class PlacementEnd : uint8_t {
  kFinished = 1,   ///< the generation finished
  kCancelled = 2,  ///< no longer needed here: finished elsewhere, moved or drained
  kFailed = 3,     ///< `failure` states how far it got
  kMixed = 4,      ///< its stream named inconsistent or unpublished weights
};

struct PlacementOutcome {
  PlacementEnd end = PlacementEnd::kFinished;
  CallFailure failure = CallFailure::kNotSent;
  /// The engine reported that it is draining.
  bool leaving = false;
  /// Tokens produced under this placement, and the time that this took.
  uint32_t tokens = 0;
  Duration elapsed{0};
};

/// Lives on the node's serial executor.
class EnginePlacement {
 public:
  virtual ~EnginePlacement() = default;
  /// Selects an engine that serves `workload` (a Pool) and counts the work as sent there until
  /// `End`. None while no engine may take it.
  virtual std::optional<Placement> Place(const ResourceKey& workload,
                                         const RoutingRequest& request) = 0;
  /// Ends a placement; an unknown id has no effect.
  virtual void End(PlacementId id, const PlacementOutcome& outcome) = 0;
  /// Number of further rollouts of `workload` that its engines can take, as far as this gateway
  /// knows.
  virtual uint32_t RolloutCapacity(const ResourceKey& workload) const = 0;
};

}  // namespace millstair
