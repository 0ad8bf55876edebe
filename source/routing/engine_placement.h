/// Places rollout attempts on engines: the part of routing that rollout code uses.
///
/// The gateway implements it by its router, so that live requests and rollouts share one view of
/// the engines' load.
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

/// Work that was counted as sent to an engine.
struct Placement {
  PlacementId id;
  RoutingChoice choice;
};

enum class PlacementEnd : uint8_t {
  kFinished = 1,   ///< the generation came to its end
  kCancelled = 2,  ///< given up on this side: done elsewhere, moved, drained
  kFailed = 3,     ///< `failure` says how far it came
  kMixed = 4,      ///< its stream named weights that do not fit together or were never published
};

/// How a placement ended.
struct PlacementOutcome {
  PlacementEnd end = PlacementEnd::kFinished;
  CallFailure failure = CallFailure::kNotSent;
  /// The engine said that it drains.
  bool leaving = false;
  /// Tokens produced under this placement, and the time that they took.
  uint32_t tokens = 0;
  Duration elapsed{0};
};

/// Lives on the node's serial executor.
class EnginePlacement {
 public:
  virtual ~EnginePlacement() = default;
  /// Chooses an engine that serves `workload` (a Pool) and counts the work as sent there until
  /// `End`. None while no engine may take it.
  virtual std::optional<Placement> Place(const ResourceKey& workload,
                                         const RoutingRequest& request) = 0;
  /// Ends a placement; an unknown id has no effect.
  virtual void End(PlacementId id, const PlacementOutcome& outcome) = 0;
  /// How many more rollouts of `workload` its engines have room for, as far as this gateway knows.
  virtual uint32_t RolloutCapacity(const ResourceKey& workload) const = 0;
};

}  // namespace millstair
