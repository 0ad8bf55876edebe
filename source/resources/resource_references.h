/// Checks across resources: duplicates in several files, and dangling references.
#pragma once

#include <vector>

#include "common/findings.h"
#include "resources/resource_codec.h"

namespace millstair {

/// Adds a finding for each resource that is defined in more than one file.
void CheckDuplicates(const std::vector<ParsedResource>& resources, Findings& findings);

/// Warnings: references to resources that are not among `resources` (they may be stored already),
/// and selectors that match none of them.
Findings DanglingReferences(const std::vector<ParsedResource>& resources);

}  // namespace millstair
