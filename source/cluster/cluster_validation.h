/// Tests of resources against each other: what a resource names must exist.
#pragma once

#include "cluster/configuration.h"
#include "common/findings.h"

namespace millstair {

/// Faults of `resource` by itself, and names in it that `resources` lacks.
void ValidateResource(const std::map<ResourceKey, Resource>& resources, const Resource& resource,
                      Findings& findings);

/// Resources that would be left with a name of something missing if `key` were deleted.
void ValidateDeletion(const std::map<ResourceKey, Resource>& resources, const ResourceKey& key,
                      Findings& findings);

}  // namespace millstair
