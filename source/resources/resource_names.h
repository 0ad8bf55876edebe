/// Text forms of the enumerations in resources.
#pragma once

#include <optional>
#include <string_view>

#include "resources/resource.h"

namespace millstair {

std::string_view EngineTypeName(EngineType type);
std::optional<EngineType> ParseEngineType(std::string_view name);

std::string_view SelectorOperatorName(SelectorOperator op);
std::optional<SelectorOperator> ParseSelectorOperator(std::string_view name);

/// An empty spec of `kind`, with defaults.
ResourceSpec DefaultSpec(ResourceKind kind);

}  // namespace millstair
