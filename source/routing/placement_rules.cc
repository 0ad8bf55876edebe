#include "routing/placement_rules.h"

namespace millstair {
namespace {

/// An engine with the labels that selectors see.
struct Candidate {
  EngineName name;
  EngineType type = EngineType::kModel;
  Labels labels;
};

std::vector<Candidate> Candidates(const Configuration& configuration) {
  std::vector<Candidate> candidates;
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<EngineSpec>(&resource.spec);
    if (spec == nullptr) continue;
    const EngineName name(resource.name);
    candidates.push_back({name, spec->type, EngineLabels(configuration, name)});
  }
  return candidates;
}

/// Model that a workload needs; none if `resource` is no workload, empty for plain HTTP.
std::optional<ModelName> WorkloadModel(const Resource& resource) {
  if (const auto* pool = std::get_if<PoolSpec>(&resource.spec)) return pool->model;
  if (const auto* group = std::get_if<TrafficGroupSpec>(&resource.spec)) return group->model;
  return std::nullopt;
}

bool SelectorMatches(const std::optional<Selector>& selector, const Labels& labels) {
  return selector.has_value() && Matches(*selector, labels);
}

std::vector<const MatchSpec*> AllMatches(const Configuration& configuration) {
  std::vector<const MatchSpec*> matches;
  for (const auto& [key, resource] : configuration.resources) {
    if (const auto* spec = std::get_if<MatchSpec>(&resource.spec)) matches.push_back(spec);
  }
  return matches;
}

template <class Key>
const auto& FindOrEmpty(const std::map<Key, std::vector<EngineName>>& lists, const Key& key) {
  static const std::vector<EngineName> empty;
  const auto found = lists.find(key);
  return found == lists.end() ? empty : found->second;
}

}  // namespace

Labels EngineLabels(const Configuration& configuration, const EngineName& engine) {
  const auto found = configuration.resources.find({ResourceKind::kEngine, engine.value()});
  if (found == configuration.resources.end()) return {};
  Labels labels = found->second.labels;
  const auto& spec = std::get<EngineSpec>(found->second.spec);
  const auto machine = configuration.resources.find({ResourceKind::kMachine, spec.machine});
  if (machine != configuration.resources.end()) {
    labels.insert(machine->second.labels.begin(), machine->second.labels.end());
  }
  return labels;
}

PlacementRules::PlacementRules(const Configuration& configuration)
    : revision_(configuration.revision) {
  const std::vector<Candidate> candidates = Candidates(configuration);
  const std::vector<const MatchSpec*> matches = AllMatches(configuration);
  std::map<ModelName, std::set<EngineName>> holders;
  for (const auto& [key, resource] : configuration.resources) {
    if (key.kind != ResourceKind::kModel) continue;
    std::set<EngineName>& engines = holders[ModelName(resource.name)];
    for (const MatchSpec* match : matches) {
      if (!SelectorMatches(match->models, resource.labels)) continue;
      for (const Candidate& candidate : candidates) {
        if (candidate.type != EngineType::kModel) continue;
        if (SelectorMatches(match->engines, candidate.labels)) engines.insert(candidate.name);
      }
    }
  }
  for (const auto& [model, engines] : holders) {
    by_model_[model].assign(engines.begin(), engines.end());
    for (const EngineName& engine : engines) by_engine_[engine].push_back(model);
  }
  for (const auto& [key, resource] : configuration.resources) {
    const std::optional<ModelName> model = WorkloadModel(resource);
    if (!model) continue;
    std::set<EngineName> engines;
    for (const MatchSpec* match : matches) {
      if (!SelectorMatches(match->workloads, resource.labels)) continue;
      for (const Candidate& candidate : candidates) {
        if (!SelectorMatches(match->engines, candidate.labels)) continue;
        const bool fits = model->value().empty() ? candidate.type == EngineType::kHttp
                                                 : holders[*model].contains(candidate.name);
        if (fits) engines.insert(candidate.name);
      }
    }
    by_workload_[key].assign(engines.begin(), engines.end());
  }
}

const std::vector<EngineName>& PlacementRules::EnginesForModel(const ModelName& model) const {
  return FindOrEmpty(by_model_, model);
}

const std::vector<EngineName>& PlacementRules::EnginesForWorkload(
    const ResourceKey& workload) const {
  return FindOrEmpty(by_workload_, workload);
}

const std::vector<ModelName>& PlacementRules::ModelsForEngine(const EngineName& engine) const {
  static const std::vector<ModelName> empty;
  const auto found = by_engine_.find(engine);
  return found == by_engine_.end() ? empty : found->second;
}

const PlacementRules& PlacementRulesCache::For(const Configuration& configuration) {
  if (!filled_ || rules_.revision() != configuration.revision) {
    rules_ = PlacementRules(configuration);
    filled_ = true;
  }
  return rules_;
}

}  // namespace millstair
