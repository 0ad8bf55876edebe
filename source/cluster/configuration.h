/// The configuration replicated to every node: resources, published weights and members.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "consensus/raft_group.h"
#include "quarantine/suspect_ledger.h"
#include "resources/resource.h"

namespace millstair {

struct PublishedVersion {
  WeightVersion version;
  WeightDigest digest;
  /// Path in the weight store.
  std::string location;
  friend bool operator==(const PublishedVersion&, const PublishedVersion&) = default;
};

/// Weights of one model. `published` is bounded: old versions not in use are removed.
struct ModelStatus {
  ModelName model;
  std::vector<PublishedVersion> published;
  /// Version that engines prefetch; 0 if none.
  WeightVersion staged;
  /// Version that engines should serve; 0 if none.
  WeightVersion active;
  /// Revisions at which `staged` and `active` were set; used as fencing tokens of the resulting
  /// orders.
  Revision staged_at;
  Revision active_at;
  friend bool operator==(const ModelStatus&, const ModelStatus&) = default;
};

enum class MemberState : uint8_t { kLive = 1, kLeaving = 2, kGone = 3 };

/// A millstaird process.
struct NodeRecord {
  NodeId node;
  Incarnation incarnation;
  Zone zone;
  /// Listen address for peers, "ip:port".
  std::string address;
  bool control = false;
  bool gateway = false;
  MemberState state = MemberState::kLive;
  /// Can hold replicas of job groups.
  bool storage = false;
  /// Identity of its disk; 0 if it has none.
  ReplicaId replica;
  /// Operators' name of its machine; may be empty.
  std::string machine;
  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// State of a machine of back ends according to the platform's list. It is merged with the
/// operators' drain flag and the back ends' own reports; the most cautious state wins.
struct MachineStatus {
  std::string machine;
  MemberState platform_state = MemberState::kLive;
  friend bool operator==(const MachineStatus&, const MachineStatus&) = default;
};

/// State that a back end reported about itself, such as leaving, received through a gateway.
struct EngineStatus {
  EngineName engine;
  Incarnation incarnation;
  MemberState state = MemberState::kLive;
  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

/// The complete routing configuration as sent by an operator, with the operator's version number.
/// Nodes decode `content` with the codec of the interface in use. Version 0 means none.
struct RoutingDocument {
  uint64_t version = 0;
  std::string content;
  friend bool operator==(const RoutingDocument&, const RoutingDocument&) = default;
};

/// Content hash that distinguishes documents, also two with the same version; 0 for no document.
uint64_t DigestOf(const RoutingDocument& document);

/// A version of a model's weights: either the newest announced one or one that a back end holds.
struct NamedVersion {
  ModelName model;
  WeightVersion version;
  friend bool operator==(const NamedVersion&, const NamedVersion&) = default;
};

/// An incarnation of a server that reports after the current one although its start time is
/// earlier: either the server's clock was set back, or the report is a late one of an older
/// incarnation.
struct RivalIncarnation {
  InstanceId id;
  uint64_t sequence = 0;
  /// Consecutive reports of it, without a report of the current incarnation in between.
  uint32_t reports = 0;
  friend bool operator==(const RivalIncarnation&, const RivalIncarnation&) = default;
};

/// One incarnation of a self-registered back end. `state` never goes back towards kLive, except
/// when a superseded incarnation becomes current again. A smaller `sequence` never replaces a
/// larger one.
struct BackendInstance {
  InstanceId id;
  ServiceName service;
  /// "ip:port".
  std::string address;
  Zone zone;
  /// Maximum number of concurrent requests.
  uint32_t slots = 0;
  MemberState state = MemberState::kLive;
  /// Sequence number of the report that this record comes from.
  uint64_t sequence = 0;
  /// Weights that it reports to hold.
  std::vector<NamedVersion> models;
  /// Set by the state machine: revision at which this incarnation was registered, or became current
  /// again.
  Revision registered_at;
  /// Remaining slow-start period, and the revision at which it was reported. Nodes count down from
  /// when they receive it, so a delay lengthens the period and never shortens it. `cold_at` is set
  /// by the state machine.
  Duration cold_left{0};
  Revision cold_at;
  /// Set by the state machine: another incarnation of the server is current; `state` is kGone.
  bool superseded = false;
  RivalIncarnation rival;
  /// The platform may withdraw it at short notice, with all others of its zone.
  bool spot = false;
  friend bool operator==(const BackendInstance&, const BackendInstance&) = default;
};

/// Placement of a job group's replicas, as reported by its leader.
struct JobGroupPlacement {
  /// Term of the reporting leader; 0 if no leader has reported.
  Term term;
  /// Number of the report within the term; a higher one is newer.
  uint64_t sequence = 0;
  NodeId leader;
  std::vector<GroupMember> members;
  friend bool operator==(const JobGroupPlacement&, const JobGroupPlacement&) = default;
};

/// A Raft group that stores batch jobs: its initial members and its current placement.
struct JobGroup {
  GroupId group;
  std::vector<GroupMember> initial_members;
  JobGroupPlacement placement;
  friend bool operator==(const JobGroup&, const JobGroup&) = default;
};

struct RetiredNode {
  NodeId node;
  /// Whether all replicas have been moved off it.
  bool emptied = false;
  friend bool operator==(const RetiredNode&, const RetiredNode&) = default;
};

/// A zone whose back ends get no requests, by an operator's order, since revision `since`.
struct EvacuatedZone {
  Zone zone;
  Revision since;
  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;
};

/// Complete configuration as of `revision`. Value type; a gateway holds a copy and applies deltas
/// to it.
struct Configuration {
  Revision revision;
  std::map<ResourceKey, Resource> resources;
  std::map<ModelName, ModelStatus> models;
  std::map<NodeId, NodeRecord> nodes;
  std::map<std::string, MachineStatus> machines;
  std::map<EngineName, EngineStatus> engines;
  RoutingDocument routing;
  std::map<InstanceId, BackendInstance> instances;
  /// The newest announced version of each model.
  std::map<ModelName, NamedVersion> versions;
  std::map<GroupId, JobGroup> job_groups;
  /// Nodes that an operator is retiring; they get no new replicas of job groups.
  std::map<NodeId, RetiredNode> retired_nodes;
  /// Requests during which back ends crashed.
  SuspectRequests suspects;
  std::map<Zone, EvacuatedZone> evacuated_zones;

  template <class Spec>
  const Spec* FindSpec(ResourceKind kind, const std::string& name) const {
    const auto found = resources.find(ResourceKey{kind, name});
    return found == resources.end() ? nullptr : std::get_if<Spec>(&found->second.spec);
  }
};

/// Changes from `from` (exclusive) to `to` (inclusive). With `full` set, `from` is ignored and the
/// delta contains the complete configuration.
struct ConfigurationDelta {
  Revision from;
  Revision to;
  bool full = false;
  std::vector<Resource> changed_resources;
  std::vector<ResourceKey> deleted_resources;
  std::vector<ModelStatus> changed_models;
  std::vector<ModelName> deleted_models;
  std::vector<NodeRecord> changed_nodes;
  std::vector<NodeId> deleted_nodes;
  std::vector<MachineStatus> changed_machines;
  std::vector<std::string> deleted_machines;
  std::vector<EngineStatus> changed_engines;
  std::vector<EngineName> deleted_engines;
  std::optional<RoutingDocument> routing;
  std::vector<BackendInstance> changed_instances;
  std::vector<InstanceId> deleted_instances;
  std::vector<NamedVersion> changed_versions;
  std::vector<JobGroup> changed_job_groups;
  std::vector<RetiredNode> changed_retired_nodes;
  std::vector<SuspectRequest> changed_suspects;
  std::vector<RequestFingerprint> deleted_suspects;
  std::vector<EvacuatedZone> changed_evacuations;
  std::vector<Zone> ended_evacuations;
};

/// Whether `delta` changes node records.
bool TouchesNodes(const ConfigurationDelta& delta);
/// Whether `delta` changes self-registered back ends, the routing configuration, evacuated zones or
/// announced versions.
bool TouchesBackEnds(const ConfigurationDelta& delta);

/// Applies `delta`. Returns false without a change if it starts after the held revision or ends
/// before it.
bool ApplyDelta(Configuration& configuration, const ConfigurationDelta& delta);

std::string EncodeDelta(const ConfigurationDelta& delta);
absl::StatusOr<ConfigurationDelta> DecodeDelta(std::string_view bytes);

/// Whether a node, a back end or a machine of `configuration` is in `zone`.
bool IsKnownZone(const Configuration& configuration, const Zone& zone);

/// Control nodes that are not gone, ordered by name.
std::vector<NodeId> LiveControlNodes(const Configuration& configuration);

/// State of a back end, merged from all sources in `configuration`: machine drain, engine drain,
/// zone evacuation, platform list and its own report. The most cautious state wins; unknown engines
/// are kGone.
MemberState EffectiveState(const Configuration& configuration, const EngineName& engine);

}  // namespace millstair
