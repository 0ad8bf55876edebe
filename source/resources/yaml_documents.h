/// Loads all documents of a YAML stream; faults become findings.
#pragma once

#include <string>
#include <vector>

#include "common/findings.h"
#include "yaml-cpp/yaml.h"

namespace millstair {

/// Empty when the text is no YAML; the finding says where.
std::vector<YAML::Node> LoadYamlDocuments(const std::string& file, const std::string& text,
                                          Findings& findings);

}  // namespace millstair
