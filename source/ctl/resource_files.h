/// Resources from files and folders.
#pragma once

#include <string>
#include <vector>

#include "common/findings.h"
#include "resources/resource_codec.h"

namespace millstair {

/// Reads each path: a file, or a folder with its *.yaml, *.yml and *.json files in the order of
/// their names (sub-folders included). All faults of all files go to `findings`.
std::vector<ParsedResource> ReadResourceFiles(const std::vector<std::string>& paths,
                                              Findings& findings);

}  // namespace millstair
