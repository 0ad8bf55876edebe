/// All Raft groups of one node: their storage, timers, and joint messages.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/peer_transport.h"
#include "consensus/consensus_faults.h"
#include "consensus/raft_group.h"
#include "consensus/state_machine.h"
#include "storage/file_system.h"

namespace millstair {

/// Timing of consensus; one set for all groups of a fleet.
struct ConsensusTiming {
  Duration heartbeat = std::chrono::milliseconds(100);
  /// Elections start after a random time between this and twice this without a leader.
  Duration election_timeout = std::chrono::milliseconds(1000);
  /// Proposals, reads and membership changes that take longer get DeadlineExceeded.
  Duration request_timeout = std::chrono::milliseconds(5000);
  /// A replica that comes back waits only from this to three times this for a leader before it
  /// stands for election; 0 is as long as ever.
  Duration restart_election_timeout{0};
};

struct ConsensusLimits {
  /// A snapshot is taken after this many entries, later if the state is larger than they are.
  uint64_t snapshot_after_entries = 2000;
  uint64_t max_batch_bytes = 256 * 1024;
  uint64_t snapshot_chunk_bytes = 256 * 1024;
};

/// Who this replica is: made once per disk, kept in the data folder.
struct ReplicaIdentity {
  ReplicaId replica;
  NodeId node;
  std::string address;
  std::string cluster_id;
};

/// Writes the identity of a founding member (its replica id is derived from cluster and node, so
/// that all founders know each other). FailedPrecondition if the folder already has an identity.
absl::Status InitializeInitialMember(FileSystem& files, const std::string& cluster_id,
                                     const NodeId& node, const std::string& address);
/// The founding member id of `node` in `cluster_id`.
ReplicaId InitialMemberReplicaId(const std::string& cluster_id, const NodeId& node);
/// The stored identity; if there is none, makes a new random one, which must join as a learner.
absl::StatusOr<ReplicaIdentity> LoadOrCreateIdentity(FileSystem& files, RandomEngine& random,
                                                     const std::string& cluster_id,
                                                     const NodeId& node,
                                                     const std::string& address);

/// Lives on the node's serial executor; owns the groups and their logs.
class GroupHost {
 public:
  /// Called when a group that this node does not have is named in a message or found on disk;
  /// makes the state machine for it, or null to refuse the group.
  using StateMachineFactory = std::function<std::unique_ptr<StateMachine>(const GroupId&)>;

  virtual ~GroupHost() = default;
  /// Opens the groups found on disk and starts the timers. DataLoss names the damaged file.
  virtual absl::Status Start() = 0;
  /// Creates `group` with `initial_members` (the same list on each) if it is not there yet.
  virtual absl::StatusOr<RaftGroup*> OpenGroup(const GroupId& group,
                                               const std::vector<GroupMember>& initial_members) = 0;
  /// Null if this node has no such group.
  virtual RaftGroup* Find(const GroupId& group) = 0;
  virtual StateMachine* FindStateMachine(const GroupId& group) = 0;
  virtual std::vector<RaftGroup*> Groups() = 0;
  /// Removes a group and its files (its stream was deleted).
  virtual absl::Status DropGroup(const GroupId& group) = 0;
  /// Messages of kind kRaft.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
  virtual const ReplicaIdentity& identity() const = 0;
  /// Called after any group gains or loses leadership here, or changes its members.
  virtual void OnLeadershipChange(std::function<void(const GroupId&)> callback) = 0;
};

std::unique_ptr<GroupHost> MakeGroupHost(Environment& environment, PeerTransport& transport,
                                         FileSystem& files, ReplicaIdentity identity,
                                         ConsensusTiming timing, ConsensusLimits limits,
                                         GroupHost::StateMachineFactory factory,
                                         ConsensusFaults faults = {});

}  // namespace millstair
