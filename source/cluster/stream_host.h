/// The stream groups of this node: opens the group of each Stream resource, drops those of deleted
/// streams, and forwards work requests to the leader of a stream.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cluster/cluster_replica.h"
#include "cluster/control_node.h"
#include "common/alive_flag.h"
#include "common/scoped_timer.h"

namespace millstair {

/// "stream/<name>@<generation>": the group of one stream, distinct from that of an earlier stream
/// of the same name.
GroupId GroupOfStream(const BootstrapStreamGroup& found);
/// The stream of "stream/<name>" or "stream/<name>@<generation>"; nullopt for other groups.
std::optional<StreamName> StreamOfGroupId(const GroupId& group);

class StreamHost {
 public:
  StreamHost(Environment& environment, PeerTransport& transport, ClusterReplica& cluster,
             std::unique_ptr<StreamFactory> factory, NodeId self);

  /// State machine of a stream's group; null if the stream is known to be deleted.
  std::unique_ptr<StateMachine> MakeStateMachine(const GroupId& group);
  /// `groups` contains the groups found on disk.
  void Start(GroupHost& groups);
  /// Must be called before the groups are destroyed.
  void Stop();
  /// The configuration, the bootstrapped groups or a leadership changed.
  void Update();
  /// Handles a message of kind kWorkRequest.
  void ReceiveWork(const NodeId& from, const PeerMessage& message);
  /// The group that "stream/<name>" currently refers to. Other names are returned unchanged.
  GroupId Resolve(const GroupId& group) const;
  /// Null unless this node leads the group of the stream.
  StreamLeader* FindLeading(const GroupId& group);

 private:
  void Tick();
  void OpenBootstrapped();
  void BootstrapMissing();
  void DropDeleted();
  void DropIfStillDeleted(const GroupId& group);
  /// Whether `group` belongs to a stream that exists now.
  bool IsCurrent(const GroupId& group) const;
  void NotifyLeaders();
  StreamLeader* LeaderOf(RaftGroup& group);

  PeerTransport& transport_;
  ClusterReplica& cluster_;
  const std::unique_ptr<StreamFactory> factory_;
  const NodeId self_;
  GroupHost* groups_ = nullptr;
  std::map<GroupId, std::unique_ptr<StreamLeader>> leaders_;
  bool bootstrapping_ = false;
  std::set<GroupId> confirming_deletion_;
  ScopedTimer timer_;
  ScopedTimer update_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
