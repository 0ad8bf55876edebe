#include "cluster/configuration_editor.h"

#include <algorithm>

#include "cluster/backend_instance_id.h"
#include "cluster/cluster_validation.h"

namespace millstair {
namespace {

ClusterResult Refuse(ClusterResultCode code, std::string message) {
  ClusterResult result;
  result.code = code;
  result.message = std::move(message);
  return result;
}

const PublishedVersion* FindPublished(const ModelStatus& status, WeightVersion version) {
  for (const PublishedVersion& published : status.published) {
    if (published.version == version) return &published;
  }
  return nullptr;
}

bool IsNoneOrPublished(const ModelStatus& status, WeightVersion version) {
  return version == WeightVersion() || FindPublished(status, version) != nullptr;
}

/// Ended instances are retained so that a late report does not revive one.
constexpr size_t kMaxEndedInstances = 1024;

/// Consecutive reports after which an instance with an earlier start time supersedes the current
/// one. After a partition, delayed reports of an old instance may arrive together and supersede the
/// current one; its own reports then make it current again in the same way.
constexpr uint32_t kReportsToSupersede = 3;

}  // namespace

bool ConfigurationEditor::ExpectedHolds(const ResourceKey& key,
                                        const std::optional<Revision>& expected,
                                        std::vector<Resource>& conflicting) const {
  if (!expected || faults_.expected_version_ignored) return true;
  const auto stored = configuration_.resources.find(key);
  const bool present = stored != configuration_.resources.end();
  const Revision version = present ? stored->second.version : Revision();
  if (version == *expected) return true;
  if (present) conflicting.push_back(stored->second);
  return false;
}

ClusterResult ConfigurationEditor::Run(const PutResources& put) {
  ClusterResult result;
  Findings findings;
  auto wanted = configuration_.resources;
  std::set<ResourceKey> named;
  bool expected = true;
  for (const PutResources::Item& item : put.items) {
    const ResourceKey key = item.resource.key();
    if (!named.insert(key).second) findings.Add({}, key.name + ": named twice in one change");
    if (!ExpectedHolds(key, item.expected, result.conflicting)) expected = false;
    wanted[key] = item.resource;
  }
  if (!expected) {
    result.code = ClusterResultCode::kConflict;
    result.message = "a resource is not at the expected version";
    return result;
  }
  for (const PutResources::Item& item : put.items) {
    ValidateResource(wanted, item.resource, findings);
  }
  if (!findings.empty()) return Refuse(ClusterResultCode::kInvalid, findings.ToString());
  for (const PutResources::Item& item : put.items) Store(item.resource);
  return result;
}

ClusterResult ConfigurationEditor::Run(const DeleteResource& erase) {
  ClusterResult result;
  const bool present = configuration_.resources.contains(erase.key);
  if (!ExpectedHolds(erase.key, erase.expected, result.conflicting)) {
    if (!present) return Refuse(ClusterResultCode::kNotFound, erase.key.name + ": not found");
    result.code = ClusterResultCode::kConflict;
    result.message = "the resource is not at the expected version";
    return result;
  }
  if (!present) return Refuse(ClusterResultCode::kNotFound, erase.key.name + ": not found");
  Findings findings;
  ValidateDeletion(configuration_.resources, erase.key, findings);
  if (!findings.empty()) return Refuse(ClusterResultCode::kInvalid, findings.ToString());
  Erase(erase.key);
  return result;
}

void ConfigurationEditor::Store(const Resource& resource) {
  const ResourceKey key = resource.key();
  Resource& target = configuration_.resources[key];
  target = resource;
  target.version = index_;
  changes_.resources.insert(key);
}

void ConfigurationEditor::Erase(const ResourceKey& key) {
  configuration_.resources.erase(key);
  changes_.resources.insert(key);
  if (key.kind == ResourceKind::kModel && configuration_.models.erase(ModelName(key.name)) > 0) {
    changes_.models.insert(ModelName(key.name));
  }
  if (key.kind == ResourceKind::kMachine && configuration_.machines.erase(key.name) > 0) {
    changes_.machines.insert(key.name);
  }
  if (key.kind == ResourceKind::kEngine && configuration_.engines.erase(EngineName(key.name)) > 0) {
    changes_.engines.insert(EngineName(key.name));
  }
}

ClusterResult ConfigurationEditor::Run(const PublishVersion& publish) {
  if (!configuration_.resources.contains({ResourceKind::kModel, publish.model.value()})) {
    return Refuse(ClusterResultCode::kNotFound, "no such model");
  }
  const PublishedVersion& version = publish.version;
  if (version.version == WeightVersion() || version.digest.value().empty()) {
    return Refuse(ClusterResultCode::kInvalid, "a version from 1 and its digest are needed");
  }
  const auto stored = configuration_.models.find(publish.model);
  if (stored != configuration_.models.end() && !stored->second.published.empty()) {
    const PublishedVersion* same = FindPublished(stored->second, version.version);
    if (same != nullptr && *same == version) return {};
    if (same != nullptr) {
      return Refuse(ClusterResultCode::kConflict, "the version was published with another digest");
    }
    if (version.version < stored->second.published.back().version) {
      return Refuse(ClusterResultCode::kConflict, "a later version was published");
    }
  }
  ModelStatus& status = configuration_.models[publish.model];
  status.model = publish.model;
  status.published.push_back(version);
  TrimPublished(status);
  changes_.models.insert(publish.model);
  return {};
}

void ConfigurationEditor::TrimPublished(ModelStatus& status) const {
  auto& published = status.published;
  auto candidate = published.begin();
  while (published.size() > max_published_versions_ && candidate != published.end()) {
    const bool in_use = candidate->version == status.staged || candidate->version == status.active;
    candidate = in_use ? candidate + 1 : published.erase(candidate);
  }
}

ClusterResult ConfigurationEditor::Run(const SetModelTarget& set) {
  const auto found = configuration_.models.find(set.model);
  if (found == configuration_.models.end()) {
    return Refuse(ClusterResultCode::kNotFound, "no such model");
  }
  ModelStatus& status = found->second;
  if (!IsNoneOrPublished(status, set.staged) || !IsNoneOrPublished(status, set.active)) {
    return Refuse(ClusterResultCode::kInvalid, "the version was not published");
  }
  const bool stages_older = set.staged != WeightVersion() && set.staged < status.staged;
  if (set.active < status.active || stages_older) {
    return Refuse(ClusterResultCode::kInvalid, "a later version is staged or served");
  }
  if (set.staged == status.staged && set.active == status.active) return {};
  if (set.staged != status.staged) status.staged_at = index_;
  if (set.active != status.active) status.active_at = index_;
  status.staged = set.staged;
  status.active = set.active;
  changes_.models.insert(set.model);
  return {};
}

ClusterResult ConfigurationEditor::Run(const UpdateMembers& update) {
  for (const NodeRecord& record : update.nodes) UpdateNode(record);
  for (const MachineStatus& status : update.machines) UpdateMachine(status);
  for (const EngineStatus& status : update.engines) UpdateEngine(status);
  for (const NodeId& node : update.deleted_nodes) {
    const auto found = configuration_.nodes.find(node);
    if (found == configuration_.nodes.end() || found->second.state != MemberState::kGone) continue;
    configuration_.nodes.erase(found);
    changes_.nodes.insert(node);
  }
  return {};
}

void ConfigurationEditor::UpdateNode(const NodeRecord& record) {
  const auto found = configuration_.nodes.find(record.node);
  if (found != configuration_.nodes.end()) {
    // Any incarnation may replace one that is gone, because the clock that orders incarnations may
    // have jumped.
    const bool older = record.incarnation < found->second.incarnation;
    if (older && found->second.state != MemberState::kGone) return;
    if (record == found->second) return;
  }
  configuration_.nodes[record.node] = record;
  changes_.nodes.insert(record.node);
}

void ConfigurationEditor::UpdateMachine(const MachineStatus& status) {
  if (!configuration_.resources.contains({ResourceKind::kMachine, status.machine})) return;
  const auto found = configuration_.machines.find(status.machine);
  if (found != configuration_.machines.end() && found->second == status) return;
  configuration_.machines[status.machine] = status;
  changes_.machines.insert(status.machine);
}

void ConfigurationEditor::UpdateEngine(const EngineStatus& status) {
  if (!configuration_.resources.contains({ResourceKind::kEngine, status.engine.value()})) return;
  const auto found = configuration_.engines.find(status.engine);
  if (found != configuration_.engines.end()) {
    if (status.incarnation < found->second.incarnation || status == found->second) return;
  }
  configuration_.engines[status.engine] = status;
  changes_.engines.insert(status.engine);
}

ClusterResult ConfigurationEditor::Run(const ReplaceRouting& replace) {
  const RoutingDocument& held = configuration_.routing;
  if (replace.document.version == 0) {
    return Refuse(ClusterResultCode::kInvalid, "a routing configuration needs a version from 1");
  }
  if (replace.document.version < held.version) return {};
  if (replace.document.version == held.version) {
    if (replace.document.content == held.content) return {};
    return Refuse(ClusterResultCode::kConflict, "the version is held with other content");
  }
  configuration_.routing = replace.document;
  changes_.routing = true;
  return {};
}

ClusterResult ConfigurationEditor::Run(const UpdateInstance& update) {
  const BackendInstance& reported = update.instance;
  BackendInstance* current = CurrentInstance(reported.id);
  const bool complete = !reported.address.empty();
  // A deregistration without a start time applies to the current instance.
  const bool any_incarnation = !complete && StartTimeOf(reported.id) == StartTime();
  if (current != nullptr && (current->id == reported.id || any_incarnation)) {
    UpdateCurrent(*current, reported);
    return {};
  }
  const auto former = configuration_.instances.find(reported.id);
  const bool known = former != configuration_.instances.end();
  // An instance that has left does not return. A deregistration is ignored if its instance is
  // superseded, or unknown while another one is current.
  if (known && !former->second.superseded) return {};
  if (known && reported.sequence <= former->second.sequence) return {};
  if (!complete && (known || current != nullptr)) return {};
  if (current != nullptr) {
    if (!ShouldSupersede(reported, *current)) return {};
    Supersede(*current);
  }
  BackendInstance& added = configuration_.instances[reported.id] = reported;
  added.registered_at = index_;
  added.cold_at = reported.cold_left > Duration(0) ? index_ : Revision();
  Touch(reported.id);
  ForgetOldInstances();
  return {};
}

ClusterResult ConfigurationEditor::Run(const UpdateInstances& update) {
  for (const BackendInstance& instance : update.instances) Run(UpdateInstance{instance});
  return {};
}

BackendInstance* ConfigurationEditor::CurrentInstance(const InstanceId& instance) {
  const ServerName server = ServerNameOf(instance);
  BackendInstance* current = nullptr;
  // Instances of one server are adjacent in the map, since their ids start with its name.
  for (auto entry = configuration_.instances.lower_bound(InstanceId(server.value()));
       entry != configuration_.instances.end() &&
       entry->first.value().compare(0, server.value().size(), server.value()) == 0;
       ++entry) {
    if (ServerNameOf(entry->first) == server && !entry->second.superseded) current = &entry->second;
  }
  return current;
}

bool ConfigurationEditor::ShouldSupersede(const BackendInstance& reported,
                                          BackendInstance& current) {
  const bool known = configuration_.instances.contains(reported.id);
  // Usual case: an unknown instance that started after the current one.
  if (!known && StartTimeOf(reported.id) > StartTimeOf(current.id)) return true;
  // A restarted server whose clock was set back keeps reporting while the previous instance sends
  // nothing. Delayed reports of an old instance arrive once or a few times, with reports of the
  // current instance in between.
  RivalIncarnation& rival = current.rival;
  const bool same = rival.id == reported.id;
  if (same && reported.sequence <= rival.sequence) return false;
  rival = {reported.id, reported.sequence, same ? rival.reports + 1 : 1};
  Touch(current.id);
  return rival.reports >= kReportsToSupersede;
}

void ConfigurationEditor::Supersede(BackendInstance& former) {
  former.superseded = true;
  former.state = MemberState::kGone;
  former.rival = RivalIncarnation();
  Touch(former.id);
}

void ConfigurationEditor::UpdateCurrent(BackendInstance& known, const BackendInstance& reported) {
  BackendInstance merged = known;
  // An instance never changes its service: a report with another service comes from a different
  // sender and is ignored.
  const bool other = !reported.address.empty() && reported.service != known.service;
  if (other) return;
  const bool newer = reported.sequence > known.sequence && !reported.address.empty();
  if (newer) merged = reported;
  // Without a new value, the period reported earlier keeps counting down.
  const bool reports_cold = newer && reported.cold_left > Duration(0);
  merged.cold_left = reports_cold ? reported.cold_left : known.cold_left;
  merged.cold_at = reports_cold ? index_ : known.cold_at;
  merged.id = known.id;
  merged.registered_at = known.registered_at;
  merged.superseded = known.superseded;
  merged.rival = RivalIncarnation();
  merged.state = std::max(known.state, reported.state);
  if (merged == known) return;
  known = std::move(merged);
  Touch(known.id);
}

void ConfigurationEditor::ForgetOldInstances() {
  while (const auto first = ended_.OldestBeyond(kMaxEndedInstances)) {
    const InstanceId forgotten = *first;
    configuration_.instances.erase(forgotten);
    Touch(forgotten);
  }
}

void ConfigurationEditor::Touch(const InstanceId& instance) {
  changes_.instances.insert(instance);
  ended_.Update(configuration_, instance);
}

ClusterResult ConfigurationEditor::Run(const NameVersion& name) {
  const auto found = configuration_.versions.find(name.named.model);
  if (found != configuration_.versions.end() && found->second.version >= name.named.version) {
    return {};
  }
  configuration_.versions[name.named.model] = name.named;
  changes_.versions.insert(name.named.model);
  return {};
}

ClusterResult ConfigurationEditor::Run(const BootstrapJobGroup& bootstrap) {
  if (!configuration_.job_groups.try_emplace(bootstrap.group.group, bootstrap.group).second)
    return {};
  changes_.job_groups.insert(bootstrap.group.group);
  return {};
}

ClusterResult ConfigurationEditor::Run(const PlaceJobGroup& place) {
  const auto found = configuration_.job_groups.find(place.group);
  if (found == configuration_.job_groups.end()) {
    return Refuse(ClusterResultCode::kNotFound, "no such job group");
  }
  JobGroupPlacement& known = found->second.placement;
  const bool later = std::pair(place.placement.term, place.placement.sequence) >
                     std::pair(known.term, known.sequence);
  if (!later) return {};
  known = place.placement;
  changes_.job_groups.insert(place.group);
  return {};
}

ClusterResult ConfigurationEditor::Run(const RetireNode& retire) {
  const NodeId& name = retire.retired.node;
  const auto node = configuration_.nodes.find(name);
  const bool holds_replicas =
      node != configuration_.nodes.end() && (node->second.storage || node->second.control);
  if (!holds_replicas) {
    return Refuse(ClusterResultCode::kNotFound, "no such node with replicas");
  }
  const auto [known, added] = configuration_.retired_nodes.try_emplace(name, retire.retired);
  const bool emptied_now = retire.retired.emptied && !known->second.emptied;
  known->second.emptied = known->second.emptied || retire.retired.emptied;
  if (added || emptied_now) changes_.retired_nodes.insert(name);
  return {};
}

SuspectLedger ConfigurationEditor::suspects() {
  return {configuration_.suspects, changes_.suspects, index_, now_};
}

ClusterResult ConfigurationEditor::Run(const ReportCrashes& report) {
  for (const CrashReport& crash : report.reports) suspects().Report(crash);
  return {};
}

ClusterResult ConfigurationEditor::Run(const BeginTrial& begin) {
  if (suspects().BeginTrial(begin.request, begin.seen)) return {};
  return Refuse(ClusterResultCode::kConflict, "the request is not held, or tried by another node");
}

ClusterResult ConfigurationEditor::Run(const ClearSuspect& clear) {
  suspects().Clear(clear.request, clear.crashes);
  return {};
}

ClusterResult ConfigurationEditor::Run(const EvacuateZone& evacuate) {
  auto& evacuated = configuration_.evacuated_zones;
  if (evacuate.ends) {
    if (evacuated.erase(evacuate.zone) > 0) changes_.evacuations.insert(evacuate.zone);
    return {};
  }
  if (!IsKnownZone(configuration_, evacuate.zone)) {
    return Refuse(ClusterResultCode::kNotFound, "nothing is known in such a zone");
  }
  const bool added = evacuated.emplace(evacuate.zone, EvacuatedZone{evacuate.zone, index_}).second;
  if (added) changes_.evacuations.insert(evacuate.zone);
  return {};
}

void ConfigurationEditor::ExpireSuspects() { suspects().Expire(); }

}  // namespace millstair
