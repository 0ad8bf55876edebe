/// Hosts all Raft groups of one node: storage, timers and batched messages.
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

/// Timing shared by all groups of a cluster.
struct ConsensusTiming {
  Duration heartbeat = std::chrono::milliseconds(100);
  /// A replica without a leader starts an election after a random time between one and two of
  /// these.
  Duration election_timeout = std::chrono::milliseconds(1000);
  /// Proposals, reads and membership changes fail with DeadlineExceeded after this time.
  Duration request_timeout = std::chrono::milliseconds(5000);
  /// A restarted replica without a leader starts an election after a random time between one and
  /// three of these; 0 means `election_timeout` applies.
  Duration restart_election_timeout{0};
};

struct ConsensusLimits {
  /// A snapshot is taken after this many entries, or later if the state is larger than the entries.
  uint64_t snapshot_after_entries = 2000;
  uint64_t max_batch_bytes = 256 * 1024;
  uint64_t snapshot_chunk_bytes = 256 * 1024;
};

/// Identity of a replica, created once per disk and stored in the data folder.
struct ReplicaIdentity {
  ReplicaId replica;
  NodeId node;
  std::string address;
  std::string cluster_id;
};

/// Writes the identity of an initial member. Its replica id is derived from cluster and node, so
/// that the initial members know each other's ids. FailedPrecondition if the folder has an
/// identity.
absl::Status InitializeInitialMember(FileSystem& files, const std::string& cluster_id,
                                     const NodeId& node, const std::string& address);
/// Replica id of `node` as an initial member of `cluster_id`.
ReplicaId InitialMemberReplicaId(const std::string& cluster_id, const NodeId& node);
/// Loads the stored identity, or creates a random one, which has to join groups as a learner.
absl::StatusOr<ReplicaIdentity> LoadOrCreateIdentity(FileSystem& files, RandomEngine& random,
                                                     const std::string& cluster_id,
                                                     const NodeId& node,
                                                     const std::string& address);

/// Lives on the node's serial executor; owns the groups and their logs.
class GroupHost {
 public:
  /// Creates the state machine of a group that is opened, found on disk or named in a message; null
  /// refuses the group.
  using StateMachineFactory = std::function<std::unique_ptr<StateMachine>(const GroupId&)>;

  virtual ~GroupHost() = default;
  /// Opens the groups found on disk and starts the timers. DataLoss names the damaged file.
  virtual absl::Status Start() = 0;
  /// Returns `group`, creating it with `initial_members` (the same list on each) if it is missing.
  virtual absl::StatusOr<RaftGroup*> OpenGroup(const GroupId& group,
                                               const std::vector<GroupMember>& initial_members) = 0;
  /// Returns null if this node does not host the group.
  virtual RaftGroup* Find(const GroupId& group) = 0;
  virtual StateMachine* FindStateMachine(const GroupId& group) = 0;
  virtual std::vector<RaftGroup*> Groups() = 0;
  /// Removes a group and its files.
  virtual absl::Status DropGroup(const GroupId& group) = 0;
  /// Handles a message of kind kRaft.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
  virtual const ReplicaIdentity& identity() const = 0;
  /// Registers a callback that runs after a local replica gains or loses leadership or a group
  /// changes its members.
  virtual void OnLeadershipChange(std::function<void(const GroupId&)> callback) = 0;
};

std::unique_ptr<GroupHost> MakeGroupHost(Environment& environment, PeerTransport& transport,
                                         FileSystem& files, ReplicaIdentity identity,
                                         ConsensusTiming timing, ConsensusLimits limits,
                                         GroupHost::StateMachineFactory factory,
                                         ConsensusFaults faults = {});

}  // namespace millstair
