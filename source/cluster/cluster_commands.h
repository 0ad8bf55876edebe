/// Commands and results of the cluster group's state machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/configuration.h"
#include "cluster/pool_records.h"
#include "cluster/task_leases.h"
#include "common/ids.h"
#include "common/time.h"
#include "consensus/raft_group.h"
#include "metering/usage_types.h"
#include "resources/resource.h"

namespace millstair {

/// Identifies a command for deduplication: the state machine stores the last results of each
/// client's session and returns the stored result for a resend.
struct SessionStamp {
  ClientId client;
  ClientSequence sequence;
};

/// Opens a session; the result's `session` is its id. A stamp of an unknown session counts as
/// expired, so a resend is never run as a new command.
struct OpenSession {};

/// Creates or replaces resources atomically.
struct PutResources {
  struct Item {
    Resource resource;
    /// Required current version; 0 requires absence; nullopt skips the check.
    std::optional<Revision> expected;
  };
  std::vector<Item> items;
};

struct DeleteResource {
  ResourceKey key;
  std::optional<Revision> expected;
};

/// Claims a key, so that a non-repeatable request is dispatched at most once.
struct ClaimKey {
  std::string key;
  NodeId gateway;
  Incarnation incarnation;
  /// Digest of the request. A different request under the same key is rejected.
  std::string request_digest;
  /// Creation time of the key, if given by the caller. A key older than the retention is rejected.
  std::optional<WallTime> issued;
  /// Random id that the gateway assigns to each request of a caller. A resend of this command with
  /// the same attempt gets the first result; with 0, a resend counts as another attempt.
  uint64_t attempt = 0;
};

/// Settles a claim as done (must never run again) or released (is known not to have run).
struct SettleClaim {
  std::string key;
  NodeId gateway;
  Incarnation incarnation;
  bool released = false;
  /// Status of the back end's response, when done.
  int answer_status = 0;
  /// Attempt of the claim to settle, so that a delayed copy cannot settle a later claim.
  uint64_t attempt = 0;
};

/// A trainer published weights. Versions increase; the same version with another digest is
/// rejected.
struct PublishVersion {
  ModelName model;
  PublishedVersion version;
};

/// Sets the versions of a model to stage and to serve; proposed by the leader.
struct SetModelTarget {
  ModelName model;
  WeightVersion staged;
  WeightVersion active;
};

/// Batch of membership changes detected by the leader.
struct UpdateMembers {
  std::vector<NodeRecord> nodes;
  std::vector<MachineStatus> machines;
  std::vector<EngineStatus> engines;
  std::vector<NodeId> deleted_nodes;
};

/// Sets the initial members of a stream's group, so that every replica opens it with the same list.
/// The first command for a stream wins; its record is removed with the Stream resource.
struct BootstrapStreamGroup {
  StreamName stream;
  /// Set by the state machine. Distinguishes the stream from an earlier one of the same name, whose
  /// group may still be on the disk of a node that was down when it was deleted.
  Revision generation;
  std::vector<GroupMember> initial_members;
};

/// Replaces the routing configuration. The highest version wins: a smaller one is acknowledged
/// without effect; the same version with different content is a conflict.
struct ReplaceRouting {
  RoutingDocument document;
};

/// Registration report of a back end, or its deregistration. Late reports have no effect.
struct UpdateInstance {
  BackendInstance instance;
};

/// A trainer announces a version of a model's weights that back ends can load. A smaller version
/// has no effect.
struct NameVersion {
  NamedVersion named;
};

/// Sets the initial members of a batch job group. The first command for a group wins.
struct BootstrapJobGroup {
  JobGroup group;
};

/// The leader of a job group reports the placement of its replicas. Reports that are not newer by
/// term and sequence have no effect.
struct PlaceJobGroup {
  GroupId group;
  JobGroupPlacement placement;
};

/// Requests that all replicas be moved off a node, or reports that this is done.
struct RetireNode {
  RetiredNode retired;
};

/// Adds a gateway's counts of started requests.
struct AddUsage {
  UsageReport report;
};

/// Closes all windows up to `through`: their sums no longer change.
struct CloseUsage {
  UsageWindow through;
};

/// The platform has accepted the sum of a window.
struct AcceptUsage {
  UsageWindow window;
};

/// The leader is about to operate on a subject of a leader task. Other nodes must not operate on it
/// for the length of a lease.
struct AnnounceTaskLease {
  LeaseAnnouncement announcement;
};

/// Back ends terminated while running requests. Reports of known incarnations have no effect.
struct ReportCrashes {
  std::vector<CrashReport> reports;
};

/// Reserves one trial of a held request for a node. A conflict unless the request is held and its
/// record was last changed at `seen`, so only one node at a time gets a trial.
struct BeginTrial {
  RequestFingerprint request;
  Revision seen;
};

/// A back end has responded to the request. No effect if its record has more than `crashes`.
struct ClearSuspect {
  RequestFingerprint request;
  uint32_t crashes = 0;
};

/// Starts or, with `ends`, ends the evacuation of a zone, whose back ends then get no requests.
/// Idempotent. Builds below kEvacuationLevel cannot decode it.
struct EvacuateZone {
  Zone zone;
  bool ends = false;
};

/// Several UpdateInstance reports in one log entry. Builds below kGroupedReportsLevel cannot decode
/// it.
struct UpdateInstances {
  std::vector<BackendInstance> instances;
};

/// Sets the numbers of servers of a service in a zone; proposed by the leader. Invalid if fewer
/// than the initial number are wanted; the initial number never decreases. Builds below
/// kPoolScalingLevel cannot decode it.
struct SetPoolSize {
  PoolSize size;
};

/// The leader of a job group reports the needs of its open steps. Delivered to the leader of the
/// cluster group and not logged: a report is outdated within seconds.
struct ReportPoolNeeds {
  PoolReport report;
};

using ClusterOperation =
    std::variant<OpenSession, PutResources, DeleteResource, ClaimKey, SettleClaim, PublishVersion,
                 SetModelTarget, UpdateMembers, BootstrapStreamGroup, ReplaceRouting,
                 UpdateInstance, NameVersion, BootstrapJobGroup, RetireNode, PlaceJobGroup,
                 AddUsage, CloseUsage, AcceptUsage, AnnounceTaskLease, ReportCrashes, BeginTrial,
                 ClearSuspect, EvacuateZone, UpdateInstances, SetPoolSize, ReportPoolNeeds>;

struct ClusterCommand {
  ClusterOperation operation;
  std::optional<SessionStamp> session;
  /// Wall time of the proposing leader. The state machine's clock is the largest one seen.
  WallTime proposed_at;
};

enum class ClusterResultCode : uint8_t {
  kOk = 1,
  kConflict = 2,  ///< compare-and-set failed; `conflicting` holds the stored resources
  kNotFound = 3,
  kInvalid = 4,
  kSessionExpired = 5,  ///< the first result is no longer stored; nothing was done
  kClaimHeld = 6,       ///< the key is claimed; outcome unknown
  kClaimDone = 7,       ///< the request with this key has run
  kClaimTooOld = 8,
  kClaimMismatch = 9,  ///< another request used this key
};

struct ClusterResult {
  ClusterResultCode code = ClusterResultCode::kOk;
  /// Revision of the change, or the newest revision if the command was rejected.
  Revision revision;
  std::vector<Resource> conflicting;
  /// The new session, for OpenSession.
  ClientId session;
  std::string message;
};

std::string EncodeCommand(const ClusterCommand& command);
absl::StatusOr<ClusterCommand> DecodeCommand(std::string_view bytes);
std::string EncodeResult(const ClusterResult& result);
absl::StatusOr<ClusterResult> DecodeResult(std::string_view bytes);

}  // namespace millstair
