/// Resources from files and folders.
#pragma once

#include <string>
#include <vector>

#include "common/findings.h"
#include "resources/resource_codec.h"

namespace millstair {

/// Reads each path: a file, or the *.yaml, *.yml and *.json files of a folder and its sub-folders
/// in the order of their names. All errors are added to `findings`.
std::vector<ParsedResource> ReadResourceFiles(const std::vector<std::string>& paths,
                                              Findings& findings);

}  // namespace millstair
