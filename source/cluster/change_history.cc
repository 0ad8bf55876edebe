#include "cluster/change_history.h"

#include <algorithm>

namespace millstair {
namespace {

/// Splits the changed keys into current values and deleted keys.
template <class Keys, class Map, class Value, class Key>
void Collect(const Keys& keys, const Map& current, std::vector<Value>& changed,
             std::vector<Key>& deleted) {
  for (const auto& key : keys) {
    const auto found = current.find(key);
    if (found == current.end()) {
      deleted.push_back(key);
    } else {
      changed.push_back(found->second);
    }
  }
}

/// Same as Collect, for tables whose entries are never deleted.
template <class Keys, class Map, class Value>
void CollectAdded(const Keys& keys, const Map& current, std::vector<Value>& changed) {
  for (const auto& key : keys) changed.push_back(current.at(key));
}

template <class Map, class Value>
void CollectAll(const Map& current, std::vector<Value>& changed) {
  changed.reserve(current.size());
  for (const auto& [key, value] : current) changed.push_back(value);
}

}  // namespace

bool ChangeSet::empty() const {
  return resources.empty() && models.empty() && nodes.empty() && machines.empty() &&
         engines.empty() && !routing && instances.empty() && versions.empty() &&
         job_groups.empty() && retired_nodes.empty() && suspects.empty() && evacuations.empty();
}

void ChangeSet::Merge(const ChangeSet& other) {
  resources.insert(other.resources.begin(), other.resources.end());
  models.insert(other.models.begin(), other.models.end());
  nodes.insert(other.nodes.begin(), other.nodes.end());
  machines.insert(other.machines.begin(), other.machines.end());
  engines.insert(other.engines.begin(), other.engines.end());
  routing = routing || other.routing;
  instances.insert(other.instances.begin(), other.instances.end());
  versions.insert(other.versions.begin(), other.versions.end());
  job_groups.insert(other.job_groups.begin(), other.job_groups.end());
  retired_nodes.insert(other.retired_nodes.begin(), other.retired_nodes.end());
  suspects.insert(other.suspects.begin(), other.suspects.end());
  evacuations.insert(other.evacuations.begin(), other.evacuations.end());
}

ChangeSet ChangesOf(const ConfigurationDelta& delta) {
  ChangeSet touched;
  for (const Resource& resource : delta.changed_resources) touched.resources.insert(resource.key());
  touched.resources.insert(delta.deleted_resources.begin(), delta.deleted_resources.end());
  for (const ModelStatus& status : delta.changed_models) touched.models.insert(status.model);
  touched.models.insert(delta.deleted_models.begin(), delta.deleted_models.end());
  for (const NodeRecord& record : delta.changed_nodes) touched.nodes.insert(record.node);
  touched.nodes.insert(delta.deleted_nodes.begin(), delta.deleted_nodes.end());
  for (const MachineStatus& status : delta.changed_machines)
    touched.machines.insert(status.machine);
  touched.machines.insert(delta.deleted_machines.begin(), delta.deleted_machines.end());
  for (const EngineStatus& status : delta.changed_engines) touched.engines.insert(status.engine);
  touched.engines.insert(delta.deleted_engines.begin(), delta.deleted_engines.end());
  touched.routing = delta.routing.has_value();
  for (const BackendInstance& instance : delta.changed_instances) {
    touched.instances.insert(instance.id);
  }
  touched.instances.insert(delta.deleted_instances.begin(), delta.deleted_instances.end());
  for (const NamedVersion& named : delta.changed_versions) touched.versions.insert(named.model);
  for (const JobGroup& group : delta.changed_job_groups) touched.job_groups.insert(group.group);
  for (const RetiredNode& node : delta.changed_retired_nodes) {
    touched.retired_nodes.insert(node.node);
  }
  for (const SuspectRequest& suspect : delta.changed_suspects) {
    touched.suspects.insert(suspect.request);
  }
  touched.suspects.insert(delta.deleted_suspects.begin(), delta.deleted_suspects.end());
  for (const EvacuatedZone& zone : delta.changed_evacuations) touched.evacuations.insert(zone.zone);
  touched.evacuations.insert(delta.ended_evacuations.begin(), delta.ended_evacuations.end());
  return touched;
}

void ChangeHistory::Add(Revision revision, ChangeSet changes) {
  changes_.push_back({revision, std::move(changes)});
  while (changes_.size() > max_changes_) {
    start_ = changes_.front().revision;
    changes_.pop_front();
  }
}

void ChangeHistory::Reset(Revision revision) {
  changes_.clear();
  start_ = revision;
}

ConfigurationDelta ChangeHistory::Since(Revision from, const Configuration& configuration) const {
  if (from < start_) return FullDelta(configuration);
  ChangeSet touched;
  const auto first = std::upper_bound(
      changes_.begin(), changes_.end(), from,
      [](Revision value, const Change& change) { return value < change.revision; });
  for (auto change = first; change != changes_.end(); ++change) touched.Merge(change->changes);
  ConfigurationDelta delta;
  delta.from = from;
  delta.to = configuration.revision;
  Collect(touched.resources, configuration.resources, delta.changed_resources,
          delta.deleted_resources);
  Collect(touched.models, configuration.models, delta.changed_models, delta.deleted_models);
  Collect(touched.nodes, configuration.nodes, delta.changed_nodes, delta.deleted_nodes);
  Collect(touched.machines, configuration.machines, delta.changed_machines, delta.deleted_machines);
  Collect(touched.engines, configuration.engines, delta.changed_engines, delta.deleted_engines);
  if (touched.routing) delta.routing = configuration.routing;
  Collect(touched.instances, configuration.instances, delta.changed_instances,
          delta.deleted_instances);
  CollectAdded(touched.versions, configuration.versions, delta.changed_versions);
  CollectAdded(touched.job_groups, configuration.job_groups, delta.changed_job_groups);
  CollectAdded(touched.retired_nodes, configuration.retired_nodes, delta.changed_retired_nodes);
  Collect(touched.suspects, configuration.suspects, delta.changed_suspects, delta.deleted_suspects);
  Collect(touched.evacuations, configuration.evacuated_zones, delta.changed_evacuations,
          delta.ended_evacuations);
  return delta;
}

ConfigurationDelta FullDelta(const Configuration& configuration) {
  ConfigurationDelta delta;
  delta.to = configuration.revision;
  delta.full = true;
  CollectAll(configuration.resources, delta.changed_resources);
  CollectAll(configuration.models, delta.changed_models);
  CollectAll(configuration.nodes, delta.changed_nodes);
  CollectAll(configuration.machines, delta.changed_machines);
  CollectAll(configuration.engines, delta.changed_engines);
  if (configuration.routing.version != 0) delta.routing = configuration.routing;
  CollectAll(configuration.instances, delta.changed_instances);
  CollectAll(configuration.versions, delta.changed_versions);
  CollectAll(configuration.job_groups, delta.changed_job_groups);
  CollectAll(configuration.retired_nodes, delta.changed_retired_nodes);
  CollectAll(configuration.suspects, delta.changed_suspects);
  CollectAll(configuration.evacuated_zones, delta.changed_evacuations);
  return delta;
}

}  // namespace millstair
