#include "cluster/control_messages.h"

#include <chrono>

#include "api/generated/control.pb.h"
#include "cluster/configuration_wire.h"
#include "cluster/resource_wire.h"

namespace millstair {

// Not in an unnamed namespace, so that NewWireArray and FromWireArray find them.
static millstair_EngineObservation ToWire(WireArena& arena, const ReportedObservation& reported) {
  const EngineObservation& observation = reported.observation;
  millstair_EngineObservation wire = millstair_EngineObservation_init_zero;
  wire.engine = arena.NewString(observation.engine.value());
  wire.incarnation = observation.incarnation.value();
  wire.leaving = observation.leaving;
  wire.staged = observation.staged.value();
  wire.active = observation.active.value();
  wire.consistent = observation.consistent;
  if (!reported.gateway.value().empty()) wire.gateway = arena.NewString(reported.gateway.value());
  return wire;
}

static bool FromWire(const millstair_EngineObservation& wire, ReportedObservation& reported) {
  reported.gateway = NodeId(ToString(wire.gateway));
  reported.observation.engine = EngineName(ToString(wire.engine));
  reported.observation.incarnation = Incarnation(wire.incarnation);
  reported.observation.leaving = wire.leaving;
  reported.observation.staged = WeightVersion(wire.staged);
  reported.observation.active = WeightVersion(wire.active);
  reported.observation.consistent = wire.consistent;
  return true;
}

static millstair_ForwardedNode ToWire(WireArena& arena, const ForwardedNode& node) {
  millstair_ForwardedNode wire = millstair_ForwardedNode_init_zero;
  wire.has_record = true;
  wire.record = ToWire(arena, node.record);
  wire.applied_revision = node.applied.value();
  wire.replica = node.replica.value();
  wire.feature_level = node.feature_level;
  wire.relays = node.relays;
  return wire;
}

static bool FromWire(const millstair_ForwardedNode& wire, ForwardedNode& node) {
  node.applied = Revision(wire.applied_revision);
  node.replica = ReplicaId(wire.replica);
  node.feature_level = wire.feature_level;
  node.relays = wire.relays;
  return wire.has_record && FromWire(wire.record, node.record) && !node.record.node.value().empty();
}

static millstair_NodeProgress ToWire(WireArena& arena, const NodeProgress& progress) {
  millstair_NodeProgress wire = millstair_NodeProgress_init_zero;
  wire.node = arena.NewString(progress.node.value());
  wire.revision = progress.revision.value();
  wire.reason = arena.NewString(progress.reason);
  return wire;
}

static bool FromWire(const millstair_NodeProgress& wire, NodeProgress& progress) {
  progress = {NodeId(ToString(wire.node)), Revision(wire.revision), ToString(wire.reason)};
  return true;
}

namespace {

constexpr int kLastStatusCode = static_cast<int>(absl::StatusCode::kUnauthenticated);

absl::Status Invalid(const char* what) {
  return absl::InvalidArgumentError(std::string("bad message: ") + what);
}

}  // namespace

absl::StatusOr<WorkRequestHead> DecodeWorkRequestHead(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_WorkRequestHead>::Decode(millstair_WorkRequestHead_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  return WorkRequestHead{StreamName(ToString((*decoded)->stream)),
                         NodeId(ToString((*decoded)->gateway))};
}

std::string EncodeHeartbeat(const NodeHeartbeat& heartbeat) {
  WireArena arena;
  millstair_NodeHeartbeat wire = millstair_NodeHeartbeat_init_zero;
  wire.nonce = heartbeat.nonce;
  wire.has_record = true;
  wire.record = ToWire(arena, heartbeat.sender.record);
  wire.applied_revision = heartbeat.sender.applied.value();
  wire.replica = heartbeat.sender.replica.value();
  wire.proof_only = heartbeat.confirmation_only;
  wire.feature_level = heartbeat.sender.feature_level;
  wire.relays = heartbeat.sender.relays;
  wire.redirect = heartbeat.redirect;
  wire.observations = NewWireArray<millstair_EngineObservation>(arena, heartbeat.observations,
                                                                &wire.observations_count);
  wire.forwarded =
      NewWireArray<millstair_ForwardedNode>(arena, heartbeat.forwarded, &wire.forwarded_count);
  return EncodeNanopb(millstair_NodeHeartbeat_fields, &wire);
}

absl::StatusOr<NodeHeartbeat> DecodeHeartbeat(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_NodeHeartbeat>::Decode(millstair_NodeHeartbeat_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_NodeHeartbeat& wire = **decoded;
  NodeHeartbeat heartbeat;
  heartbeat.nonce = wire.nonce;
  heartbeat.sender.applied = Revision(wire.applied_revision);
  heartbeat.sender.replica = ReplicaId(wire.replica);
  heartbeat.confirmation_only = wire.proof_only;
  heartbeat.sender.feature_level = wire.feature_level;
  heartbeat.sender.relays = wire.relays;
  heartbeat.redirect = wire.redirect;
  if (!wire.has_record || !FromWire(wire.record, heartbeat.sender.record) ||
      heartbeat.sender.record.node.value().empty()) {
    return Invalid("heartbeat without a node");
  }
  if (!FromWireArray(wire.observations, wire.observations_count, heartbeat.observations) ||
      !FromWireArray(wire.forwarded, wire.forwarded_count, heartbeat.forwarded)) {
    return Invalid("heartbeat with an invalid node");
  }
  return heartbeat;
}

std::string EncodeHeartbeatReply(const NodeHeartbeatReply& reply) {
  WireArena arena;
  millstair_NodeHeartbeatReply wire = millstair_NodeHeartbeatReply_init_zero;
  wire.nonce = reply.nonce;
  wire.confirmed_revision = reply.confirmed.value();
  wire.delta = arena.NewChunkedBytes(reply.delta, &wire.delta_count);
  wire.refusal = static_cast<uint32_t>(reply.refusal);
  wire.confirmation_age_ms = static_cast<uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(reply.confirmation_age).count());
  if (reply.leader != NodeId()) wire.leader = arena.NewString(reply.leader.value());
  wire.has_use = reply.refusal == HeartbeatRefusal::kUseAnother;
  if (wire.has_use) {
    wire.use.node = arena.NewString(reply.use.node.value());
    wire.use.address = arena.NewString(reply.use.address);
    wire.use.zone = arena.NewString(reply.use.zone.value());
  }
  return EncodeNanopb(millstair_NodeHeartbeatReply_fields, &wire);
}

absl::StatusOr<NodeHeartbeatReply> DecodeHeartbeatReply(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_NodeHeartbeatReply>::Decode(
      millstair_NodeHeartbeatReply_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_NodeHeartbeatReply& wire = **decoded;
  if (wire.refusal > static_cast<uint32_t>(HeartbeatRefusal::kUseAnother)) {
    return Invalid("heartbeat reply with an unknown refusal");
  }
  NodeHeartbeatReply reply{wire.nonce, Revision(wire.confirmed_revision),
                           JoinBytes(wire.delta, wire.delta_count),
                           static_cast<HeartbeatRefusal>(wire.refusal)};
  reply.leader = NodeId(ToString(wire.leader));
  reply.confirmation_age = std::chrono::milliseconds(wire.confirmation_age_ms);
  if (wire.has_use) {
    reply.use = {NodeId(ToString(wire.use.node)), ToString(wire.use.address),
                 Zone(ToString(wire.use.zone))};
  }
  const bool names_another = reply.use.node != NodeId() && !reply.use.address.empty();
  if (reply.refusal == HeartbeatRefusal::kUseAnother && !names_another) {
    return Invalid("heartbeat redirect without a target");
  }
  return reply;
}

std::string EncodeConfigurationPush(std::string_view delta) {
  WireArena arena;
  millstair_ConfigurationPush wire = millstair_ConfigurationPush_init_zero;
  wire.delta = arena.NewChunkedBytes(delta, &wire.delta_count);
  return EncodeNanopb(millstair_ConfigurationPush_fields, &wire);
}

absl::StatusOr<ConfigurationDelta> DecodeConfigurationPush(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_ConfigurationPush>::Decode(
      millstair_ConfigurationPush_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  return DecodeDelta(JoinBytes((*decoded)->delta, (*decoded)->delta_count));
}

std::string EncodeGroupCommand(const GroupCommand& command) {
  WireArena arena;
  millstair_GroupCommand wire = millstair_GroupCommand_init_zero;
  wire.id = command.id;
  wire.group = arena.NewString(command.group.value());
  wire.mode = static_cast<uint32_t>(command.mode);
  wire.command = arena.NewChunkedBytes(command.command, &wire.command_count);
  wire.timeout_milliseconds = static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(command.timeout).count());
  if (!command.origin.value().empty()) wire.origin = arena.NewString(command.origin.value());
  wire.may_be_rejected = command.may_be_rejected;
  return EncodeNanopb(millstair_GroupCommand_fields, &wire);
}

absl::StatusOr<GroupCommand> DecodeGroupCommand(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_GroupCommand>::Decode(millstair_GroupCommand_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_GroupCommand& wire = **decoded;
  if (wire.mode != static_cast<uint32_t>(CommandMode::kPropose) &&
      wire.mode != static_cast<uint32_t>(CommandMode::kQuery)) {
    return Invalid("command with an unknown mode");
  }
  GroupCommand command;
  command.id = wire.id;
  command.group = GroupId(ToString(wire.group));
  command.mode = static_cast<CommandMode>(wire.mode);
  command.command = JoinBytes(wire.command, wire.command_count);
  command.timeout = std::chrono::milliseconds(wire.timeout_milliseconds);
  command.origin = NodeId(ToString(wire.origin));
  command.may_be_rejected = wire.may_be_rejected;
  return command;
}

std::string EncodeGroupCommandReply(const GroupCommandReply& reply) {
  WireArena arena;
  millstair_GroupCommandReply wire = millstair_GroupCommandReply_init_zero;
  wire.id = reply.id;
  wire.status = static_cast<uint32_t>(reply.status);
  if (!reply.message.empty()) wire.message = arena.NewString(reply.message);
  wire.result = arena.NewChunkedBytes(reply.result, &wire.result_count);
  if (!reply.origin.value().empty()) wire.origin = arena.NewString(reply.origin.value());
  if (!reply.leader.value().empty()) wire.leader = arena.NewString(reply.leader.value());
  wire.not_run = reply.not_run;
  wire.retry_after_milliseconds = static_cast<uint32_t>(ToMilliseconds(reply.retry_after));
  return EncodeNanopb(millstair_GroupCommandReply_fields, &wire);
}

absl::StatusOr<GroupCommandReply> DecodeGroupCommandReply(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_GroupCommandReply>::Decode(
      millstair_GroupCommandReply_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_GroupCommandReply& wire = **decoded;
  if (wire.status > static_cast<uint32_t>(kLastStatusCode)) return Invalid("unknown status code");
  return GroupCommandReply{wire.id,
                           static_cast<absl::StatusCode>(wire.status),
                           ToString(wire.message),
                           JoinBytes(wire.result, wire.result_count),
                           NodeId(ToString(wire.origin)),
                           NodeId(ToString(wire.leader)),
                           wire.not_run,
                           std::chrono::milliseconds(wire.retry_after_milliseconds)};
}

std::string EncodeClusterQuery(const ClusterQuery& query) {
  WireArena arena;
  millstair_ClusterQuery wire = millstair_ClusterQuery_init_zero;
  wire.kind = static_cast<uint32_t>(query.kind);
  wire.revision = query.revision.value();
  wire.node = arena.NewString(query.node.value());
  wire.wall_milliseconds = query.wall.time_since_epoch().count();
  return EncodeNanopb(millstair_ClusterQuery_fields, &wire);
}

absl::StatusOr<ClusterQuery> DecodeClusterQuery(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_ClusterQuery>::Decode(millstair_ClusterQuery_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const uint32_t kind = (*decoded)->kind;
  if (kind < static_cast<uint32_t>(ClusterQueryKind::kConfiguration) ||
      kind > static_cast<uint32_t>(ClusterQueryKind::kFeatureLevel)) {
    return Invalid("unknown cluster query");
  }
  return ClusterQuery{static_cast<ClusterQueryKind>(kind), Revision((*decoded)->revision),
                      NodeId(ToString((*decoded)->node)),
                      WallTime(std::chrono::milliseconds((*decoded)->wall_milliseconds))};
}

std::string EncodeAgreedTime(WallTime time) {
  millstair_AgreedTime wire = millstair_AgreedTime_init_zero;
  wire.wall_milliseconds = time.time_since_epoch().count();
  return EncodeNanopb(millstair_AgreedTime_fields, &wire);
}

absl::StatusOr<WallTime> DecodeAgreedTime(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_AgreedTime>::Decode(millstair_AgreedTime_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  return WallTime(std::chrono::milliseconds((*decoded)->wall_milliseconds));
}

std::string EncodeMinFeatureLevel(const MinFeatureLevel& least) {
  WireArena arena;
  millstair_LeastFeatureLevel wire = millstair_LeastFeatureLevel_init_zero;
  wire.level = least.level;
  wire.node = arena.NewString(least.node.value());
  return EncodeNanopb(millstair_LeastFeatureLevel_fields, &wire);
}

absl::StatusOr<MinFeatureLevel> DecodeMinFeatureLevel(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_LeastFeatureLevel>::Decode(
      millstair_LeastFeatureLevel_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  return MinFeatureLevel{(*decoded)->level, NodeId(ToString((*decoded)->node))};
}

std::string EncodeLagging(const std::vector<NodeProgress>& nodes) {
  WireArena arena;
  millstair_LaggingNodes wire = millstair_LaggingNodes_init_zero;
  wire.nodes = NewWireArray<millstair_NodeProgress>(arena, nodes, &wire.nodes_count);
  return EncodeNanopb(millstair_LaggingNodes_fields, &wire);
}

absl::StatusOr<std::vector<NodeProgress>> DecodeLagging(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_LaggingNodes>::Decode(millstair_LaggingNodes_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  std::vector<NodeProgress> nodes;
  if (!FromWireArray((*decoded)->nodes, (*decoded)->nodes_count, nodes)) return Invalid("nodes");
  return nodes;
}

}  // namespace millstair
