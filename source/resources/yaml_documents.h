/// Loads all documents of a YAML stream; errors become findings.
#pragma once

#include <string>
#include <vector>

#include "common/findings.h"
#include "yaml-cpp/yaml.h"

namespace millstair {

/// Empty if the text is not valid YAML; the finding has the location.
std::vector<YAML::Node> LoadYamlDocuments(const std::string& file, const std::string& text,
                                          Findings& findings);

}  // namespace millstair
