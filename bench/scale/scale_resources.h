/// The resources of a scale run: machines, engines, one model, one pool, one stream and their
/// match.
#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "resources/resource.h"

namespace millstair {

struct ScaleShape {
  uint32_t servers = 100;
  std::vector<Zone> zones;
};

inline constexpr char kScaleModel[] = "scale-model";

/// All resources, in an order in which each names only earlier ones.
std::vector<Resource> ScaleResources(const ScaleShape& shape);
/// Name of the machine of server `number`.
std::string ScaleMachineName(uint32_t number);

}  // namespace millstair
