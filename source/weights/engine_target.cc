#include "weights/engine_target.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace millstair {
namespace {

PublishedVersion FindPublished(const ModelStatus& status, WeightVersion version) {
  for (const PublishedVersion& published : status.published) {
    if (published.version == version) return published;
  }
  return {};
}

void AddAdapters(const Configuration& configuration, EngineTarget& target) {
  for (const auto& [key, resource] : configuration.resources) {
    const auto* adapter = std::get_if<AdapterSpec>(&resource.spec);
    if (adapter == nullptr || adapter->model != target.model) continue;
    target.adapters[resource.name] = {adapter->location, adapter->digest, resource.version};
    target.fence = std::max(target.fence, resource.version);
  }
}

void AddRole(const Configuration& configuration, const EngineName& engine, EngineTarget& target) {
  const Labels labels = EngineLabels(configuration, engine);
  if (const auto role = labels.find(kRoleLabel); role != labels.end()) target.role = role->second;
  const auto resource = configuration.resources.find({ResourceKind::kEngine, engine.value()});
  if (resource == configuration.resources.end()) return;
  target.fence = std::max(target.fence, resource->second.version);
  const auto& spec = std::get<EngineSpec>(resource->second.spec);
  const auto machine = configuration.resources.find({ResourceKind::kMachine, spec.machine});
  if (machine != configuration.resources.end()) {
    target.fence = std::max(target.fence, machine->second.version);
  }
}

bool Holds(const EngineReport& report, WeightVersion version) {
  return std::find(report.staged_versions.begin(), report.staged_versions.end(), version) !=
         report.staged_versions.end();
}

EngineOrder MakeWeightOrder(const EngineTarget& target, OrderKind kind,
                            const PublishedVersion& version) {
  EngineOrder order;
  order.kind = kind;
  order.fence = target.fence;
  order.model = target.model;
  order.version = version.version;
  order.digest = version.digest;
  order.location = version.location;
  return order;
}

/// Whether all shards of the engine serve `wanted`.
bool Serves(const EngineReport& report, const EngineTarget& target,
            const PublishedVersion& wanted) {
  return report.model == target.model && report.shards == ShardState::kConsistent &&
         report.active_version == wanted.version && report.active_digest == wanted.digest;
}

}  // namespace

std::optional<EngineTarget> EngineTargetFor(const Configuration& configuration,
                                            const PlacementRules& rules, const EngineName& engine,
                                            const ModelName& reported_model) {
  const std::vector<ModelName>& models = rules.ModelsForEngine(engine);
  if (models.empty()) return std::nullopt;
  EngineTarget target;
  const bool keeps_reported =
      std::find(models.begin(), models.end(), reported_model) != models.end();
  target.model = keeps_reported ? reported_model : models.front();
  if (const auto found = configuration.models.find(target.model);
      found != configuration.models.end()) {
    const ModelStatus& status = found->second;
    target.staged = FindPublished(status, status.staged);
    target.active = FindPublished(status, status.active);
    target.fence = std::max(status.staged_at, status.active_at);
  }
  AddAdapters(configuration, target);
  AddRole(configuration, engine, target);
  return target;
}

bool HasUncertainWeights(const Configuration& configuration, const EngineReport& report) {
  if (report.shards == ShardState::kMixed) return true;
  const auto model = configuration.models.find(report.model);
  if (model == configuration.models.end()) return false;
  const PublishedVersion published = FindPublished(model->second, report.active_version);
  return published.version.value() != 0 && published.digest != report.active_digest;
}

std::optional<EngineOrder> NextWeightOrder(const EngineTarget& target, const EngineReport& report) {
  const bool has_active_target = target.active.version.value() != 0;
  const bool newer_served = report.model == target.model &&
                            report.shards == ShardState::kConsistent &&
                            report.active_version > target.active.version;
  if (has_active_target && !newer_served && !Serves(report, target, target.active)) {
    if (report.shards == ShardState::kSwapping) return std::nullopt;
    const OrderKind kind =
        Holds(report, target.active.version) ? OrderKind::kActivate : OrderKind::kStage;
    return MakeWeightOrder(target, kind, target.active);
  }
  const bool needs_staging = target.staged.version > report.active_version &&
                             target.staged.version > target.active.version &&
                             !Holds(report, target.staged.version);
  if (needs_staging) return MakeWeightOrder(target, OrderKind::kStage, target.staged);
  for (const WeightVersion version : report.staged_versions) {
    const bool wanted = version == target.staged.version || version == target.active.version;
    if (wanted || version == report.active_version || version > target.staged.version) continue;
    return MakeWeightOrder(target, OrderKind::kUnload, {version, WeightDigest(), ""});
  }
  return std::nullopt;
}

uint32_t SwapPosition(const std::vector<EngineName>& engines, const EngineName& engine,
                      WeightVersion version) {
  const auto weight = [&](const EngineName& name) {
    return XXH64(name.value().data(), name.value().size(), version.value());
  };
  const uint64_t own = weight(engine);
  uint32_t position = 0;
  for (const EngineName& other : engines) {
    const uint64_t others = weight(other);
    if (others < own || (others == own && other < engine)) ++position;
  }
  return position;
}

uint32_t MaxConcurrentSwaps(uint32_t engines, double floor) {
  const double free = std::floor((1.0 - std::clamp(floor, 0.0, 1.0)) * engines + 1e-9);
  return std::max(static_cast<uint32_t>(free), 1U);
}

}  // namespace millstair
