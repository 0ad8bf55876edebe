/// Validation of references between resources.
#pragma once

#include "cluster/configuration.h"
#include "common/findings.h"

namespace millstair {

/// Adds findings for invalid fields of `resource` and for its references to resources that are not
/// in `resources`.
void ValidateResource(const std::map<ResourceKey, Resource>& resources, const Resource& resource,
                      Findings& findings);

/// Adds a finding for each resource that refers to `key` and so prevents its deletion.
void ValidateDeletion(const std::map<ResourceKey, Resource>& resources, const ResourceKey& key,
                      Findings& findings);

}  // namespace millstair
