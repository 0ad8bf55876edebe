#include "resources/resource_names.h"

#include <array>

#include "fmt/format.h"
#include "resources/resource_codec.h"

namespace millstair {
namespace {

/// In the order of ResourceKind.
constexpr std::array<std::string_view, 8> kKindNames = {
    "Machine", "Engine", "Model", "Adapter", "Pool", "Stream", "TrafficGroup", "Match"};
constexpr std::array<std::string_view, 2> kEngineTypeNames = {"model", "http"};
constexpr std::array<std::string_view, 4> kOperatorNames = {"In", "NotIn", "Exists",
                                                            "DoesNotExist"};

template <class Enum, size_t N>
std::optional<Enum> Find(const std::array<std::string_view, N>& names, std::string_view name) {
  for (size_t i = 0; i < N; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace

std::string_view KindName(ResourceKind kind) { return kKindNames.at(static_cast<size_t>(kind)); }

absl::StatusOr<ResourceKind> ParseKind(std::string_view name) {
  const std::optional<ResourceKind> kind = Find<ResourceKind>(kKindNames, name);
  if (kind) return *kind;
  return absl::InvalidArgumentError(
      fmt::format("unknown kind '{}' (one of {})", name,
                  fmt::join(kKindNames.begin(), kKindNames.end(), ", ")));
}

std::string_view EngineTypeName(EngineType type) {
  return kEngineTypeNames.at(static_cast<size_t>(type));
}

std::optional<EngineType> ParseEngineType(std::string_view name) {
  return Find<EngineType>(kEngineTypeNames, name);
}

std::string_view SelectorOperatorName(SelectorOperator op) {
  return kOperatorNames.at(static_cast<size_t>(op));
}

std::optional<SelectorOperator> ParseSelectorOperator(std::string_view name) {
  return Find<SelectorOperator>(kOperatorNames, name);
}

ResourceSpec DefaultSpec(ResourceKind kind) {
  switch (kind) {
    case ResourceKind::kMachine:
      return MachineSpec{};
    case ResourceKind::kEngine:
      return EngineSpec{};
    case ResourceKind::kModel:
      return ModelSpec{};
    case ResourceKind::kAdapter:
      return AdapterSpec{};
    case ResourceKind::kPool:
      return PoolSpec{};
    case ResourceKind::kStream:
      return StreamSpec{};
    case ResourceKind::kTrafficGroup:
      return TrafficGroupSpec{};
    case ResourceKind::kMatch:
      return MatchSpec{};
  }
  return MachineSpec{};
}

}  // namespace millstair
