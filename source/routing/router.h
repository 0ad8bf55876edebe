/// Inputs and outputs of the choice of an engine for a request.
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

/// The properties of a request that routing depends on.
struct RoutingRequest {
  ModelName model;
  std::vector<BlockHash> prefix_blocks;
  uint32_t prompt_tokens = 0;
  uint32_t expected_tokens = 0;
  RequestPriority priority = RequestPriority::kLive;
  /// Engines that were tried already.
  std::set<EngineName> excluded;
};

/// kEstimate is used in production; the others are for benchmarks.
enum class RoutingPolicy { kEstimate, kRoundRobin, kLeastOutstanding, kEstimateWithoutPrefix };

struct RoutingChoice {
  EngineName engine;
  std::string address;
  /// Estimated time until the request would finish there.
  Duration estimate{0};
};

}  // namespace millstair
