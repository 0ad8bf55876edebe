#include "routing/placement_rules.h"

#include <deque>

namespace millstair {
namespace {

/// An engine with the labels that selectors see.
struct Candidate {
  EngineName name;
  EngineType type = EngineType::kModel;
  /// Its own labels merged with its machine's, or only its own if the machine has none.
  const Labels* labels = nullptr;
};

/// Engines by name, and storage for the merged labels that some of them point to.
struct Candidates {
  std::vector<Candidate> engines;
  std::deque<Labels> merged;
};

Candidates CandidatesOf(const Configuration& configuration) {
  Candidates candidates;
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<EngineSpec>(&resource.spec);
    if (spec == nullptr) continue;
    const auto machine = configuration.resources.find({ResourceKind::kMachine, spec->machine});
    const Labels* labels = &resource.labels;
    if (machine != configuration.resources.end() && !machine->second.labels.empty()) {
      candidates.merged.push_back(EngineLabels(configuration, EngineName(resource.name)));
      labels = &candidates.merged.back();
    }
    candidates.engines.push_back({EngineName(resource.name), spec->type, labels});
  }
  return candidates;
}

/// One flag per candidate, in the same order.
using EngineFlags = std::vector<bool>;

/// Model that a workload needs; none if `resource` is no workload, empty for plain HTTP.
std::optional<ModelName> WorkloadModel(const Resource& resource) {
  if (const auto* pool = std::get_if<PoolSpec>(&resource.spec)) return pool->model;
  if (const auto* group = std::get_if<TrafficGroupSpec>(&resource.spec)) return group->model;
  return std::nullopt;
}

bool SelectorMatches(const std::optional<Selector>& selector, const Labels& labels) {
  return selector.has_value() && Matches(*selector, labels);
}

/// A Match and the engines that it selects.
struct EngineMatch {
  const MatchSpec* spec = nullptr;
  EngineFlags engines;
};

std::vector<EngineMatch> MatchesOf(const Configuration& configuration,
                                   const std::vector<Candidate>& engines) {
  std::vector<EngineMatch> matches;
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<MatchSpec>(&resource.spec);
    if (spec == nullptr) continue;
    EngineMatch match{spec, EngineFlags(engines.size())};
    for (size_t i = 0; i < engines.size(); ++i) {
      match.engines[i] = SelectorMatches(spec->engines, *engines[i].labels);
    }
    matches.push_back(std::move(match));
  }
  return matches;
}

/// Adds the engines of `match` for which `fits` holds.
template <class Fits>
void AddMatching(const EngineMatch& match, EngineFlags& flags, Fits fits) {
  for (size_t i = 0; i < flags.size(); ++i) {
    if (match.engines[i] && fits(i)) flags[i] = true;
  }
}

std::vector<EngineName> NamesOf(const EngineFlags& flags, const std::vector<Candidate>& engines) {
  std::vector<EngineName> names;
  for (size_t i = 0; i < flags.size(); ++i) {
    if (flags[i]) names.push_back(engines[i].name);
  }
  return names;
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
  const Candidates candidates = CandidatesOf(configuration);
  const std::vector<Candidate>& engines = candidates.engines;
  const std::vector<EngineMatch> matches = MatchesOf(configuration, engines);
  const auto is_model_engine = [&](size_t i) { return engines[i].type == EngineType::kModel; };
  std::map<ModelName, EngineFlags> holders;
  for (const auto& [key, resource] : configuration.resources) {
    if (key.kind != ResourceKind::kModel) continue;
    EngineFlags flags(engines.size());
    for (const EngineMatch& match : matches) {
      if (!SelectorMatches(match.spec->models, resource.labels)) continue;
      AddMatching(match, flags, is_model_engine);
    }
    const ModelName model(resource.name);
    by_model_[model] = NamesOf(flags, engines);
    for (const EngineName& engine : by_model_[model]) by_engine_[engine].push_back(model);
    holders.emplace(model, std::move(flags));
  }
  const EngineFlags no_engines(engines.size());
  for (const auto& [key, resource] : configuration.resources) {
    const std::optional<ModelName> model = WorkloadModel(resource);
    if (!model) continue;
    const auto held = holders.find(*model);
    const EngineFlags& holding = held == holders.end() ? no_engines : held->second;
    const bool plain = model->value().empty();
    const auto fits = [&](size_t i) { return plain ? !is_model_engine(i) : holding[i]; };
    EngineFlags flags(engines.size());
    for (const EngineMatch& match : matches) {
      if (!SelectorMatches(match.spec->workloads, resource.labels)) continue;
      AddMatching(match, flags, fits);
    }
    by_workload_[key] = NamesOf(flags, engines);
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
