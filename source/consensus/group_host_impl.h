/// Implementation of GroupHost: opens, drops and ticks groups, and batches the messages of all
/// groups by destination node.
///
/// An event marks its group as ready; one executor callback then processes all ready groups, so
/// that proposals made together share messages and a sync.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/alive_flag.h"
#include "common/scoped_timer.h"
#include "consensus/group_host.h"
#include "consensus/group_replica.h"

namespace millstair {

class GroupHostImpl : public GroupHost {
 public:
  GroupHostImpl(Environment& environment, PeerTransport& transport, FileSystem& files,
                ReplicaIdentity identity, ConsensusTiming timing, ConsensusLimits limits,
                StateMachineFactory factory, ConsensusFaults faults);

  absl::Status Start() override;
  absl::StatusOr<RaftGroup*> OpenGroup(const GroupId& group,
                                       const std::vector<GroupMember>& initial_members) override;
  RaftGroup* Find(const GroupId& group) override;
  StateMachine* FindStateMachine(const GroupId& group) override;
  std::vector<RaftGroup*> Groups() override;
  absl::Status DropGroup(const GroupId& group) override;
  void Receive(const NodeId& from, const PeerMessage& message) override;
  const ReplicaIdentity& identity() const override { return identity_; }
  void OnLeadershipChange(std::function<void(const GroupId&)> callback) override {
    leadership_callbacks_.push_back(std::move(callback));
  }

 private:
  /// A group and the state last reported to the listeners.
  struct Entry {
    /// Referenced by `replica`, so declared before it.
    std::unique_ptr<ReplicaContext> context;
    std::unique_ptr<GroupReplica> replica;
    bool leader = false;
    Term term;
    LogIndex configuration;
  };

  absl::StatusOr<GroupReplica*> Open(const GroupId& group,
                                     const std::vector<GroupMember>& initial_members);
  GroupReplica* FindForMessage(const AddressedRaftMessage& addressed);
  void RecordFailedOpening(const GroupId& group, const absl::Status& status);
  void MarkReady(const GroupId& group);
  void Tick();
  void ProcessReadyGroups();
  void SendAll(std::vector<OutgoingMessage> messages);
  void SendBatch(const NodeId& node, const std::vector<AddressedRaftMessage>& batch);
  void RecordChanges(const GroupId& group, Entry& entry);

  Environment& environment_;
  PeerTransport& transport_;
  FileSystem& files_;
  ReplicaIdentity identity_;
  ConsensusTiming timing_;
  ConsensusLimits limits_;
  StateMachineFactory factory_;
  ConsensusFaults faults_;

  std::map<GroupId, Entry> groups_;
  std::map<uint64_t, GroupReplica*> replicas_by_key_;
  std::set<GroupId> ready_groups_;
  std::set<GroupId> changed_groups_;
  /// A group that could not be opened on a message from its leader.
  struct FailedOpening {
    Duration pause{0};
    TimePoint retry_at;
  };
  std::map<GroupId, FailedOpening> failed_openings_;
  bool work_scheduled_ = false;
  std::vector<std::function<void(const GroupId&)>> leadership_callbacks_;
  ScopedTimer tick_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
