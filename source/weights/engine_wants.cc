#include "weights/engine_wants.h"

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

void TakeAdapters(const Configuration& configuration, EngineWants& wants) {
  for (const auto& [key, resource] : configuration.resources) {
    const auto* adapter = std::get_if<AdapterSpec>(&resource.spec);
    if (adapter == nullptr || adapter->model != wants.model) continue;
    wants.adapters[resource.name] = {adapter->location, adapter->digest, resource.version};
    wants.fence = std::max(wants.fence, resource.version);
  }
}

void TakeRole(const Configuration& configuration, const EngineName& engine, EngineWants& wants) {
  const Labels labels = EngineLabels(configuration, engine);
  if (const auto role = labels.find(kRoleLabel); role != labels.end()) wants.role = role->second;
  const auto resource = configuration.resources.find({ResourceKind::kEngine, engine.value()});
  if (resource == configuration.resources.end()) return;
  wants.fence = std::max(wants.fence, resource->second.version);
  const auto& spec = std::get<EngineSpec>(resource->second.spec);
  const auto machine = configuration.resources.find({ResourceKind::kMachine, spec.machine});
  if (machine != configuration.resources.end()) {
    wants.fence = std::max(wants.fence, machine->second.version);
  }
}

bool Holds(const EngineReport& report, WeightVersion version) {
  return std::find(report.staged_versions.begin(), report.staged_versions.end(), version) !=
         report.staged_versions.end();
}

EngineOrder WeightOrder(const EngineWants& wants, OrderKind kind, const PublishedVersion& version) {
  EngineOrder order;
  order.kind = kind;
  order.fence = wants.fence;
  order.model = wants.model;
  order.version = version.version;
  order.digest = version.digest;
  order.location = version.location;
  return order;
}

/// The engine serves `wanted`, and all of its shards do.
bool Serves(const EngineReport& report, const EngineWants& wants, const PublishedVersion& wanted) {
  return report.model == wants.model && report.shards == ShardState::kConsistent &&
         report.active_version == wanted.version && report.active_digest == wanted.digest;
}

}  // namespace

std::optional<EngineWants> WantsOf(const Configuration& configuration, const PlacementRules& rules,
                                   const EngineName& engine, const ModelName& reported_model) {
  const std::vector<ModelName>& models = rules.ModelsForEngine(engine);
  if (models.empty()) return std::nullopt;
  EngineWants wants;
  const bool keeps = std::find(models.begin(), models.end(), reported_model) != models.end();
  wants.model = keeps ? reported_model : models.front();
  if (const auto found = configuration.models.find(wants.model);
      found != configuration.models.end()) {
    const ModelStatus& status = found->second;
    wants.staged = FindPublished(status, status.staged);
    wants.active = FindPublished(status, status.active);
    wants.fence = std::max(status.staged_at, status.active_at);
  }
  TakeAdapters(configuration, wants);
  TakeRole(configuration, engine, wants);
  return wants;
}

bool ReportInDoubt(const Configuration& configuration, const EngineReport& report) {
  if (report.shards == ShardState::kMixed) return true;
  const auto model = configuration.models.find(report.model);
  if (model == configuration.models.end()) return false;
  const PublishedVersion published = FindPublished(model->second, report.active_version);
  return published.version.value() != 0 && published.digest != report.active_digest;
}

std::optional<EngineOrder> NextWeightOrder(const EngineWants& wants, const EngineReport& report) {
  const bool wants_active = wants.active.version.value() != 0;
  const bool newer_served = report.model == wants.model &&
                            report.shards == ShardState::kConsistent &&
                            report.active_version > wants.active.version;
  if (wants_active && !newer_served && !Serves(report, wants, wants.active)) {
    if (report.shards == ShardState::kSwapping) return std::nullopt;
    const OrderKind kind =
        Holds(report, wants.active.version) ? OrderKind::kActivate : OrderKind::kStage;
    return WeightOrder(wants, kind, wants.active);
  }
  const bool fetch = wants.staged.version > report.active_version &&
                     wants.staged.version > wants.active.version &&
                     !Holds(report, wants.staged.version);
  if (fetch) return WeightOrder(wants, OrderKind::kStage, wants.staged);
  for (const WeightVersion version : report.staged_versions) {
    const bool wanted = version == wants.staged.version || version == wants.active.version;
    if (wanted || version == report.active_version || version > wants.staged.version) continue;
    return WeightOrder(wants, OrderKind::kUnload, {version, WeightDigest(), ""});
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

uint32_t SwapsAtOnce(uint32_t engines, double floor) {
  const double free = std::floor((1.0 - std::clamp(floor, 0.0, 1.0)) * engines + 1e-9);
  return std::max(static_cast<uint32_t>(free), 1U);
}

}  // namespace millstair
