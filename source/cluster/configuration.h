/// The configuration that every node holds: resources, published weights and members.
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

/// Weights of one model. `published` is bounded: only the newest few are kept.
struct ModelStatus {
  ModelName model;
  std::vector<PublishedVersion> published;
  /// Version that engines fetch ahead; 0 is none.
  WeightVersion staged;
  /// Version that engines are to serve; 0 is none.
  WeightVersion active;
  /// Revisions at which `staged` and `active` were set: the fences of the orders they cause.
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
  /// Where it listens for peers, "ip:port".
  std::string address;
  bool control = false;
  bool gateway = false;
  MemberState state = MemberState::kLive;
  /// Holds replicas of job groups.
  bool storage = false;
  /// Identity of its disk; 0 for a node without one.
  ReplicaId replica;
  /// Name of its machine, as operators know it; may be empty.
  std::string machine;
  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// What is known of a machine of back ends, merged from the platform list, the back ends' own
/// words and the operators; the most cautious wins.
struct MachineStatus {
  std::string machine;
  MemberState platform_state = MemberState::kLive;
  friend bool operator==(const MachineStatus&, const MachineStatus&) = default;
};

/// A back end that itself said that it is leaving, as reported by a gateway.
struct EngineStatus {
  EngineName engine;
  Incarnation incarnation;
  MemberState state = MemberState::kLive;
  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

/// A whole routing configuration as an operator sent it, under the operator's own version. Nodes
/// read `content` by the codec of the interface in use. Version 0 is none.
struct RoutingDocument {
  uint64_t version = 0;
  std::string content;
  friend bool operator==(const RoutingDocument&, const RoutingDocument&) = default;
};

/// Tells the contents of documents apart, also of two under one version; 0 for no document.
uint64_t DigestOf(const RoutingDocument& document);

/// A version of a model's weights: the newest that was named, or the one that a back end holds.
struct NamedVersion {
  ModelName model;
  WeightVersion version;
  friend bool operator==(const NamedVersion&, const NamedVersion&) = default;
};

/// A life of a server that claims to have followed the one that is believed, though its clock says
/// that it was born before: a clock that was set back, or a late report of an older life.
struct RivalIncarnation {
  InstanceId id;
  uint64_t sequence = 0;
  /// Reports of it in a row, none of the believed life between.
  uint32_t reports = 0;
  friend bool operator==(const RivalIncarnation&, const RivalIncarnation&) = default;
};

/// One life of a back end that registers itself. `state` never goes back towards kLive, but for a
/// life that was taken for over because another one of its server was believed; and a smaller
/// `sequence` never replaces a larger one.
struct BackendInstance {
  InstanceId id;
  ServiceName service;
  /// "ip:port".
  std::string address;
  Zone zone;
  /// Requests that it works on at once.
  uint32_t slots = 0;
  MemberState state = MemberState::kLive;
  /// Number of the report that this record is from.
  uint64_t sequence = 0;
  /// Weights that it holds, by its own word.
  std::vector<NamedVersion> models;
  /// Set by the state machine: revision of the first report, or of its return.
  Revision registered_at;
  /// How much longer it is slow after its start, and the revision with which that was told. Nodes
  /// count down from when they learn of it, so a late one believes in it for too long, not too
  /// briefly. `cold_at` is set by the state machine.
  Duration cold_left{0};
  Revision cold_at;
  /// Set by the state machine: another life of its server is believed; `state` is kGone.
  bool superseded = false;
  RivalIncarnation rival;
  friend bool operator==(const BackendInstance&, const BackendInstance&) = default;
};

/// Where the replicas of a job group are, as its leader says.
struct JobGroupPlacement {
  /// In which the leader leads; 0 while no leader has spoken.
  Term term;
  /// Counts what the leader of the term said: the higher one is the later one.
  uint64_t sequence = 0;
  NodeId leader;
  std::vector<GroupMember> members;
  friend bool operator==(const JobGroupPlacement&, const JobGroupPlacement&) = default;
};

/// A group that keeps batch jobs: its founding members, and where it is now.
struct JobGroup {
  GroupId group;
  std::vector<GroupMember> initial_members;
  JobGroupPlacement placement;
  friend bool operator==(const JobGroup&, const JobGroup&) = default;
};

struct RetiredNode {
  NodeId node;
  /// It holds no replica any more.
  bool emptied = false;
  friend bool operator==(const RetiredNode&, const RetiredNode&) = default;
};

/// A zone whose back ends get nothing, by an operator's order, since the revision `since`.
struct EvacuatedZone {
  Zone zone;
  Revision since;
  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;
};

/// Everything as of `revision`. Value type; a gateway holds one and applies deltas to it.
struct Configuration {
  Revision revision;
  std::map<ResourceKey, Resource> resources;
  std::map<ModelName, ModelStatus> models;
  std::map<NodeId, NodeRecord> nodes;
  std::map<std::string, MachineStatus> machines;
  std::map<EngineName, EngineStatus> engines;
  RoutingDocument routing;
  std::map<InstanceId, BackendInstance> instances;
  /// The newest version named of each model.
  std::map<ModelName, NamedVersion> versions;
  std::map<GroupId, JobGroup> job_groups;
  /// Storage nodes that an operator wants emptied; they hold no replicas of job groups again.
  std::map<NodeId, RetiredNode> retired_nodes;
  /// Requests under which back ends ended.
  SuspectRequests suspects;
  std::map<Zone, EvacuatedZone> evacuated_zones;

  template <class Spec>
  const Spec* FindSpec(ResourceKind kind, const std::string& name) const {
    const auto found = resources.find(ResourceKey{kind, name});
    return found == resources.end() ? nullptr : std::get_if<Spec>(&found->second.spec);
  }
};

/// Changes from `from` (exclusive) to `to` (inclusive). With `full` set, `from` is ignored and the
/// changes are the whole state.
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

/// Whether `delta` changes what is known of the cluster's nodes.
bool TouchesNodes(const ConfigurationDelta& delta);
/// Whether it changes back ends that register themselves, routes, evacuated zones or named
/// versions.
bool TouchesBackEnds(const ConfigurationDelta& delta);

/// Applies `delta`. False, with no change, if it does not start at or before the revision held or
/// would go back.
bool ApplyDelta(Configuration& configuration, const ConfigurationDelta& delta);

std::string EncodeDelta(const ConfigurationDelta& delta);
absl::StatusOr<ConfigurationDelta> DecodeDelta(std::string_view bytes);

/// Whether a node, a back end or a machine of `configuration` is in `zone`.
bool IsKnownZone(const Configuration& configuration, const Zone& zone);

/// Control nodes that are not gone, in the order of their names.
std::vector<NodeId> LiveControlNodes(const Configuration& configuration);

/// State of a back end, merged from all sources in `configuration` (machine drain, engine drain,
/// platform list, own word). The most cautious wins; unknown engines are kGone.
MemberState EffectiveState(const Configuration& configuration, const EngineName& engine);

}  // namespace millstair
