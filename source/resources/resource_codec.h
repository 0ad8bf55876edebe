/// Resources as YAML (files, operators) and JSON (HTTP API). Both share one set of field names;
/// docs/CONFIGURATION.md lists every field with unit, default and bounds.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/findings.h"
#include "resources/resource.h"

namespace millstair {

/// "Machine", "Engine", ... as written in the `kind` field.
std::string_view KindName(ResourceKind kind);
absl::StatusOr<ResourceKind> ParseKind(std::string_view name);

/// A resource and the start of its document.
struct ParsedResource {
  Resource resource;
  Location location;
};

/// Parses a stream of YAML documents. Every error (unknown key, wrong unit, out of bounds, host
/// name instead of an IP address, duplicate resource) is added to `findings`.
std::vector<ParsedResource> ParseResources(const std::string& file, const std::string& text,
                                           Findings& findings);
std::string ToYaml(const Resource& resource);
std::string ToJson(const Resource& resource);
/// Uses the YAML parser, as YAML is a superset of JSON. Errors are InvalidArgument with locations.
absl::StatusOr<Resource> ResourceFromJson(const std::string& text);

}  // namespace millstair
