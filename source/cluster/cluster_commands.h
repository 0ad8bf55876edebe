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
#include "cluster/task_leases.h"
#include "common/ids.h"
#include "common/time.h"
#include "consensus/raft_group.h"
#include "metering/usage_types.h"
#include "resources/resource.h"

namespace millstair {

/// Makes a resend answerable: the state machine keeps the last results of each client's session.
struct SessionStamp {
  ClientId client;
  ClientSequence sequence;
};

/// Opens a session; the result's `session` names it. A stamp of a session that is not in the state
/// is expired by definition, so a resend is never taken for something new.
struct OpenSession {};

/// Creates or replaces resources, all or none.
struct PutResources {
  struct Item {
    Resource resource;
    /// Version that must be stored now; 0 demands absence; none skips the test.
    std::optional<Revision> expected;
  };
  std::vector<Item> items;
};

struct DeleteResource {
  ResourceKey key;
  std::optional<Revision> expected;
};

/// Takes the once-only claim on a key before a non-repeatable request is dispatched.
struct ClaimKey {
  std::string key;
  NodeId gateway;
  Incarnation incarnation;
  /// Digest of the request; a different request under the same key is refused.
  std::string request_digest;
  /// When the caller made the key, if it said so; older than the retention is refused.
  std::optional<WallTime> issued;
  /// Drawn by the gateway for each request of a caller. A resend of this command with the same
  /// attempt gets its first answer; with 0 each resend is told that the key is held.
  uint64_t attempt = 0;
};

/// Settles a claim: done (never run again) or released (it truly did not run).
struct SettleClaim {
  std::string key;
  NodeId gateway;
  Incarnation incarnation;
  bool released = false;
  /// Status of the back end's answer, when done.
  int answer_status = 0;
  /// The attempt of the claim that it settles, so that a late copy never settles a later claim.
  uint64_t attempt = 0;
};

/// A trainer published weights. Versions count up; the same version with another digest is refused.
struct PublishVersion {
  ModelName model;
  PublishedVersion version;
};

/// The leader decides that a version is to be staged or served.
struct SetModelTarget {
  ModelName model;
  WeightVersion staged;
  WeightVersion active;
};

/// Batched membership changes found by the leader.
struct UpdateMembers {
  std::vector<NodeRecord> nodes;
  std::vector<MachineStatus> machines;
  std::vector<EngineStatus> engines;
  std::vector<NodeId> deleted_nodes;
};

/// Fixes the founders of a stream's group, so that every replica opens it with the same list. The
/// first one for a stream wins; it is forgotten with the Stream resource.
struct BootstrapStreamGroup {
  StreamName stream;
  /// Set by the state machine: tells a stream from an earlier one of the same name, whose group may
  /// still lie on the disk of a node that was down when it was deleted.
  Revision generation;
  std::vector<GroupMember> initial_members;
};

/// Puts a whole routing configuration in force. The highest version holds: a smaller one is
/// acknowledged and changes nothing; the same version with other content is a conflict.
struct ReplaceRouting {
  RoutingDocument document;
};

/// A report of a back end that registers itself, or of its leaving. Late reports change nothing.
struct UpdateInstance {
  BackendInstance instance;
};

/// A trainer names weights that back ends know how to load. A smaller version changes nothing.
struct NameVersion {
  NamedVersion named;
};

/// Fixes the founders of a group of batch jobs; the first one for a group wins.
struct BootstrapJobGroup {
  JobGroup group;
};

/// The leader of a job group says where its replicas are. What an earlier leader says, or the same
/// leader said before, changes nothing.
struct PlaceJobGroup {
  GroupId group;
  JobGroupPlacement placement;
};

/// An operator wants a storage node emptied, or the leader of its groups says that it is.
struct RetireNode {
  RetiredNode retired;
};

/// Counts requests that began to run.
struct AddUsage {
  UsageReport report;
};

/// Fixes the sums of all windows up to `through`.
struct CloseUsage {
  UsageWindow through;
};

/// The platform has taken the sum of a window.
struct AcceptUsage {
  UsageWindow window;
};

/// The leader is about to act on a subject of a duty: other holders leave it alone for a lease.
struct AnnounceTaskLease {
  LeaseAnnouncement announcement;
};

/// Back ends ended while they ran requests. Lives that are known already change nothing.
struct ReportCrashes {
  std::vector<CrashReport> reports;
};

/// A node wants to send a held request once. A conflict unless the request is held and its record's
/// last change is `seen`; so one node at a time gets a trial.
struct BeginTrial {
  RequestFingerprint request;
  Revision seen;
};

/// A back end has answered the request; changes nothing if its record has more than `crashes`.
struct ClearSuspect {
  RequestFingerprint request;
  uint32_t crashes = 0;
};

/// An operator wants the back ends of a zone to get nothing, or takes that back; to say either
/// again changes nothing. Builds below kEvacuationLevel don't read it.
struct EvacuateZone {
  Zone zone;
  bool ends = false;
};

/// Several of them as one entry. Builds below kGroupedReportsLevel don't read it.
struct UpdateInstances {
  std::vector<BackendInstance> instances;
};

using ClusterOperation =
    std::variant<OpenSession, PutResources, DeleteResource, ClaimKey, SettleClaim, PublishVersion,
                 SetModelTarget, UpdateMembers, BootstrapStreamGroup, ReplaceRouting,
                 UpdateInstance, NameVersion, BootstrapJobGroup, RetireNode, PlaceJobGroup,
                 AddUsage, CloseUsage, AcceptUsage, AnnounceTaskLease, ReportCrashes, BeginTrial,
                 ClearSuspect, EvacuateZone, UpdateInstances>;

struct ClusterCommand {
  ClusterOperation operation;
  std::optional<SessionStamp> session;
  /// Wall time of the proposing leader; the state machine's own clock takes the largest seen.
  WallTime proposed_at;
};

enum class ClusterResultCode : uint8_t {
  kOk = 1,
  kConflict = 2,  ///< compare-and-set lost; `conflicting` holds the winner
  kNotFound = 3,
  kInvalid = 4,
  kSessionExpired = 5,  ///< the resend is too old to be answered; nothing was done
  kClaimHeld = 6,       ///< the key is claimed and its outcome not known
  kClaimDone = 7,       ///< the key was used and ran
  kClaimTooOld = 8,
  kClaimMismatch = 9,  ///< another request used this key
};

struct ClusterResult {
  ClusterResultCode code = ClusterResultCode::kOk;
  /// Revision of the change, or the newest at a refusal.
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
