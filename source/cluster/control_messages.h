/// Typed messages of api/control.proto: heartbeats, pushes, commands and cluster queries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/configuration.h"
#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "cluster/feature_level.h"
#include "common/ids.h"

namespace millstair {

/// An observation and the gateway that made it.
struct ReportedObservation {
  NodeId gateway;
  EngineObservation observation;
};

/// A node's latest heartbeat as received by a control node, forwarded to the leader.
struct ForwardedNode {
  NodeRecord record;
  Revision applied;
  /// Identity of the node's disk; 0 without the control role.
  ReplicaId replica;
  /// The level that its build can read.
  FeatureLevel feature_level = kFirstLevel;
  /// A control node without a replica, which relays what a replica reports.
  bool relays = false;
};

/// Message of kind kHeartbeat.
struct NodeHeartbeat {
  /// Identifies the heartbeat in its reply; 0 requests no reply.
  uint64_t nonce = 0;
  ForwardedNode sender;
  /// The sender uses another control node: it wants a confirmation and no pushes.
  bool confirmation_only = false;
  std::vector<ReportedObservation> observations;
  /// The sender accepts a redirect to another control node.
  bool redirect = false;
  /// Only from a control node to the leader.
  std::vector<ForwardedNode> forwarded;
};

/// Why a control node replies to a heartbeat without a confirmation. The confirmation may still
/// follow.
enum class HeartbeatRefusal : uint8_t {
  kNone = 0,
  /// It holds no replica of the cluster group.
  kNoReplica = 1,
  /// It knows no leader, or no quorum confirmed the read.
  kNoQuorum = 2,
  /// Redirect to another control node. Only sent to nodes that accept it.
  kUseAnother = 3,
};

/// Nonce of a reply that answers no heartbeat: the leader invites a node that it does not hear from
/// to use the control node `use`.
inline constexpr uint64_t kInvitationNonce = 0;

/// Message of kind kHeartbeatReply.
struct NodeHeartbeatReply {
  uint64_t nonce = 0;
  /// The newest revision at some moment after the heartbeat was received.
  Revision confirmed;
  /// Encoded ConfigurationDelta; empty if the node holds `confirmed`.
  std::string delta;
  /// If set, `confirmed` and `delta` are unused.
  HeartbeatRefusal refusal = HeartbeatRefusal::kNone;
  /// Leader of the cluster group; empty if unknown.
  NodeId leader;
  /// Target of the redirect or of the invitation, with kUseAnother.
  ControlEndpoint use;
  /// How long before the heartbeat was received `confirmed` was known to be the newest. 0 from a
  /// control node; whole milliseconds, rounded up.
  Duration confirmation_age{0};
};

/// Message of kind kCommand.
struct GroupCommand {
  uint64_t id = 0;
  GroupId group;
  CommandMode mode = CommandMode::kPropose;
  std::string command;
  Duration timeout{0};
  /// Node that sent the command, if another node forwarded it.
  NodeId origin;
  /// The sender distinguishes rejections (GroupCommandReply::not_run) from other failures. Commands
  /// of other senders are not rejected.
  bool may_be_rejected = false;
};

/// Message of kind kCommandReply. Unavailable means that the sender should retry, here or
/// elsewhere; any other code is final.
struct GroupCommandReply {
  uint64_t id = 0;
  absl::StatusCode status = absl::StatusCode::kOk;
  std::string message;
  std::string result;
  /// Node that the reply is forwarded to, if it passes through another control node.
  NodeId origin;
  /// Leader of the group, if the replying node knows it and does not lead itself; may be empty.
  NodeId leader;
  /// The replying node did not propose this copy of the command. With ResourceExhausted, it
  /// rejected the command and proposes no other copy of it either.
  bool not_run = false;
  /// With ResourceExhausted: time after which the command is expected to be accepted.
  Duration retry_after{0};
};

/// Queries to the leader of the cluster group (command mode kQuery).
enum class ClusterQueryKind : uint8_t {
  kConfiguration = 1,  ///< replied to with a full ConfigurationDelta
  kLagging = 2,        ///< replied to with the nodes that do not hold `revision`
  kTime = 3,           ///< carries the sender's time; replied to with the agreed time
  kFeatureLevel = 4,   ///< replied to with the live node of the lowest feature level
};

struct ClusterQuery {
  ClusterQueryKind kind = ClusterQueryKind::kConfiguration;
  Revision revision;
  /// For kTime: the sender and its wall clock.
  NodeId node;
  WallTime wall;
};

/// A node and the revision it holds.
struct NodeProgress {
  NodeId node;
  Revision revision;
  /// Why it lags, for operators: "silent" or "behind".
  std::string reason;
};

/// The part of a message of kind kWorkRequest that is needed to forward it.
struct WorkRequestHead {
  StreamName stream;
  NodeId gateway;
};

absl::StatusOr<WorkRequestHead> DecodeWorkRequestHead(std::string_view bytes);
std::string EncodeHeartbeat(const NodeHeartbeat& heartbeat);
absl::StatusOr<NodeHeartbeat> DecodeHeartbeat(std::string_view bytes);
std::string EncodeHeartbeatReply(const NodeHeartbeatReply& reply);
absl::StatusOr<NodeHeartbeatReply> DecodeHeartbeatReply(std::string_view bytes);
/// `delta` is an encoded ConfigurationDelta, so that one encoding serves all nodes.
std::string EncodeConfigurationPush(std::string_view delta);
absl::StatusOr<ConfigurationDelta> DecodeConfigurationPush(std::string_view bytes);
std::string EncodeGroupCommand(const GroupCommand& command);
absl::StatusOr<GroupCommand> DecodeGroupCommand(std::string_view bytes);
std::string EncodeGroupCommandReply(const GroupCommandReply& reply);
absl::StatusOr<GroupCommandReply> DecodeGroupCommandReply(std::string_view bytes);
std::string EncodeClusterQuery(const ClusterQuery& query);
absl::StatusOr<ClusterQuery> DecodeClusterQuery(std::string_view bytes);
std::string EncodeAgreedTime(WallTime time);
absl::StatusOr<WallTime> DecodeAgreedTime(std::string_view bytes);
std::string EncodeMinFeatureLevel(const MinFeatureLevel& least);
absl::StatusOr<MinFeatureLevel> DecodeMinFeatureLevel(std::string_view bytes);
std::string EncodeLagging(const std::vector<NodeProgress>& nodes);
absl::StatusOr<std::vector<NodeProgress>> DecodeLagging(std::string_view bytes);

}  // namespace millstair
