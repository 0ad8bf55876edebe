/// Chooses the engine for a request.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/environment.h"
#include "common/ids.h"
#include "engine/engine_types.h"

namespace millstair {

/// What the router must know of the work to place it.
struct RoutingRequest {
  ModelName model;
  std::vector<BlockHash> prefix_blocks;
  uint32_t prompt_tokens = 0;
  uint32_t expected_tokens = 0;
  RequestPriority priority = RequestPriority::kLive;
  /// Engines that were tried already.
  std::set<EngineName> excluded;
};

/// Policies that the bench compares; kEstimate is the product's.
enum class RoutingPolicy { kEstimate, kRoundRobin, kLeastOutstanding, kEstimateWithoutPrefix };

struct RoutingChoice {
  EngineName engine;
  std::string address;
  /// Estimated time until the request would finish there.
  Duration estimate{0};
};

}  // namespace millstair
