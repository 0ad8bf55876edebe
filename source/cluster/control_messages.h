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

/// A node as a control node heard it, passed on to the leader.
struct ForwardedNode {
  NodeRecord record;
  Revision applied;
  /// Identity of its disk; 0 without the control role.
  ReplicaId replica;
  /// What its build reads.
  FeatureLevel feature_level = kFirstLevel;
  /// A control node without a replica, which passes on what a replica says.
  bool relays = false;
};

/// Message of kind kHeartbeat.
struct NodeHeartbeat {
  /// Names the heartbeat in its reply; 0 wants none.
  uint64_t nonce = 0;
  ForwardedNode sender;
  /// The sender wants a proof, and no pushes: it uses another control node.
  bool confirmation_only = false;
  std::vector<ReportedObservation> observations;
  /// The sender may be told to use another control node.
  bool redirect = false;
  /// Only from a control node to the leader.
  std::vector<ForwardedNode> forwarded;
};

/// Why a control node that heard a heartbeat gives no proof. The proof may still follow.
enum class HeartbeatRefusal : uint8_t {
  kNone = 0,
  /// It holds no replica of the cluster group.
  kNoReplica = 1,
  /// It knows no leader, or no quorum confirmed the read.
  kNoQuorum = 2,
  /// Another control node is to be used. Only said to nodes that allow it.
  kUseAnother = 3,
};

/// Message of kind kHeartbeatReply.
struct NodeHeartbeatReply {
  uint64_t nonce = 0;
  /// The newest revision at some moment after the heartbeat was received.
  Revision confirmed;
  /// Encoded ConfigurationDelta; empty if the node holds `confirmed`.
  std::string delta;
  /// With a reason, `confirmed` and `delta` say nothing.
  HeartbeatRefusal refusal = HeartbeatRefusal::kNone;
  /// Who leads the cluster group; empty if that is not known.
  NodeId leader;
  /// With kUseAnother.
  ControlEndpoint use;
};

/// Message of kind kCommand.
struct GroupCommand {
  uint64_t id = 0;
  GroupId group;
  CommandMode mode = CommandMode::kPropose;
  std::string command;
  Duration timeout{0};
  /// Node that asked, if a control node passed the command on.
  NodeId origin;
};

/// Message of kind kCommandReply. Unavailable asks the sender to try again or elsewhere; any other
/// code is final.
struct GroupCommandReply {
  uint64_t id = 0;
  absl::StatusCode status = absl::StatusCode::kOk;
  std::string message;
  std::string result;
  /// Where the reply is bound for, if it goes through another control node.
  NodeId origin;
  /// Who leads the group, if the replying node knows and does not lead itself; may be empty.
  NodeId leader;
};

/// What the leader of the cluster group can be asked (command mode kQuery).
enum class ClusterQueryKind : uint8_t {
  kConfiguration = 1,  ///< answered with a full ConfigurationDelta
  kLagging = 2,        ///< answered with the nodes that do not hold `revision`
  kTime = 3,           ///< answered with the agreed time; tells the asking node's own
  kFeatureLevel = 4,   ///< answered with the live node that reads least
};

struct ClusterQuery {
  ClusterQueryKind kind = ClusterQueryKind::kConfiguration;
  Revision revision;
  /// For kTime: who asks, and what its wall clock says.
  NodeId node;
  WallTime wall;
};

/// A node and the revision it holds.
struct NodeProgress {
  NodeId node;
  Revision revision;
  /// Why it lags: "gone", "leaving" or "behind".
  std::string reason;
};

/// As much of a message of kind kWorkRequest as is needed to pass it on.
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
std::string EncodeMinFeatureLevel(const LeastFeatureLevel& least);
absl::StatusOr<LeastFeatureLevel> DecodeMinFeatureLevel(std::string_view bytes);
std::string EncodeLagging(const std::vector<NodeProgress>& nodes);
absl::StatusOr<std::vector<NodeProgress>> DecodeLagging(std::string_view bytes);

}  // namespace millstair
