/// Codecs of commands and results of the cluster group.
#include "cluster/cluster_commands.h"
#include "cluster/configuration_wire.h"
#include "cluster/pool_wire.h"
#include "cluster/resource_wire.h"
#include "cluster/suspect_wire.h"
#include "cluster/usage_wire.h"

namespace millstair {

static std::optional<Revision> ExpectedFromWire(bool present, uint64_t value) {
  if (!present) return std::nullopt;
  return Revision(value);
}

// Not in the unnamed namespace, so that NewWireArray and FromWireArray find them.
static millstair_PutItem ToWire(WireArena& arena, const PutResources::Item& item) {
  millstair_PutItem wire = millstair_PutItem_init_zero;
  wire.has_resource = true;
  wire.resource = ToWire(arena, item.resource);
  wire.has_expected = item.expected.has_value();
  wire.expected = item.expected.value_or(Revision()).value();
  return wire;
}

static bool FromWire(const millstair_PutItem& wire, PutResources::Item& item) {
  if (!wire.has_resource) return false;
  item.expected = ExpectedFromWire(wire.has_expected, wire.expected);
  return FromWire(wire.resource, item.resource);
}

namespace {

int64_t ToMilliseconds(WallTime time) { return time.time_since_epoch().count(); }
WallTime FromMilliseconds(int64_t count) { return WallTime(std::chrono::milliseconds(count)); }

/// Encodes an operation into a wire command; one overload per operation.
struct OperationWriter {
  WireArena& arena;
  millstair_ClusterCommand& wire;

  void operator()(const OpenSession&) const {
    wire.which_operation = millstair_ClusterCommand_open_session_tag;
    wire.operation.open_session = millstair_OpenSession_init_zero;
  }

  void operator()(const PutResources& put) const {
    wire.which_operation = millstair_ClusterCommand_put_resources_tag;
    millstair_PutResources& target = wire.operation.put_resources;
    target = millstair_PutResources_init_zero;
    target.items = NewWireArray<millstair_PutItem>(arena, put.items, &target.items_count);
  }

  void operator()(const DeleteResource& erase) const {
    wire.which_operation = millstair_ClusterCommand_delete_resource_tag;
    millstair_DeleteResource& target = wire.operation.delete_resource;
    target = millstair_DeleteResource_init_zero;
    target.has_key = true;
    target.key = ToWire(arena, erase.key);
    target.has_expected = erase.expected.has_value();
    target.expected = erase.expected.value_or(Revision()).value();
  }

  void operator()(const ClaimKey& claim) const {
    wire.which_operation = millstair_ClusterCommand_claim_key_tag;
    millstair_ClaimKey& target = wire.operation.claim_key;
    target = millstair_ClaimKey_init_zero;
    target.key = arena.NewBytes(claim.key);
    target.gateway = arena.NewString(claim.gateway.value());
    target.incarnation = claim.incarnation.value();
    target.request_digest = arena.NewBytes(claim.request_digest);
    target.has_issued = claim.issued.has_value();
    target.issued_milliseconds = claim.issued ? ToMilliseconds(*claim.issued) : 0;
    target.attempt = claim.attempt;
  }

  void operator()(const SettleClaim& settle) const {
    wire.which_operation = millstair_ClusterCommand_settle_claim_tag;
    millstair_SettleClaim& target = wire.operation.settle_claim;
    target = millstair_SettleClaim_init_zero;
    target.key = arena.NewBytes(settle.key);
    target.gateway = arena.NewString(settle.gateway.value());
    target.incarnation = settle.incarnation.value();
    target.released = settle.released;
    target.answer_status = settle.answer_status;
    target.attempt = settle.attempt;
  }

  void operator()(const PublishVersion& publish) const {
    wire.which_operation = millstair_ClusterCommand_publish_version_tag;
    millstair_PublishVersion& target = wire.operation.publish_version;
    target = millstair_PublishVersion_init_zero;
    target.model = arena.NewString(publish.model.value());
    target.has_version = true;
    target.version = ToWire(arena, publish.version);
  }

  void operator()(const SetModelTarget& set) const {
    wire.which_operation = millstair_ClusterCommand_set_model_target_tag;
    millstair_SetModelTarget& target = wire.operation.set_model_target;
    target = millstair_SetModelTarget_init_zero;
    target.model = arena.NewString(set.model.value());
    target.staged = set.staged.value();
    target.active = set.active.value();
  }

  void operator()(const UpdateMembers& update) const {
    wire.which_operation = millstair_ClusterCommand_update_members_tag;
    millstair_UpdateMembers& target = wire.operation.update_members;
    target = millstair_UpdateMembers_init_zero;
    target.nodes = NewWireArray<millstair_NodeRecord>(arena, update.nodes, &target.nodes_count);
    target.machines =
        NewWireArray<millstair_MachineStatus>(arena, update.machines, &target.machines_count);
    target.engines =
        NewWireArray<millstair_EngineStatus>(arena, update.engines, &target.engines_count);
    std::vector<std::string> deleted;
    for (const NodeId& node : update.deleted_nodes) deleted.push_back(node.value());
    target.deleted_nodes = NewStrings(arena, deleted, &target.deleted_nodes_count);
  }

  void operator()(const BootstrapStreamGroup& bootstrap) const {
    wire.which_operation = millstair_ClusterCommand_found_group_tag;
    wire.operation.found_group = ToWire(arena, bootstrap);
  }

  void operator()(const ReplaceRouting& replace) const {
    wire.which_operation = millstair_ClusterCommand_replace_routing_tag;
    wire.operation.replace_routing = ToWire(arena, replace.document);
  }

  void operator()(const UpdateInstance& update) const {
    wire.which_operation = millstair_ClusterCommand_update_instance_tag;
    wire.operation.update_instance = ToWire(arena, update.instance);
  }

  void operator()(const NameVersion& name) const {
    wire.which_operation = millstair_ClusterCommand_name_version_tag;
    wire.operation.name_version = ToWire(arena, name.named);
  }

  void operator()(const BootstrapJobGroup& bootstrap) const {
    wire.which_operation = millstair_ClusterCommand_found_job_group_tag;
    wire.operation.found_job_group = ToWire(arena, bootstrap.group);
  }

  void operator()(const PlaceJobGroup& place) const {
    wire.which_operation = millstair_ClusterCommand_place_job_group_tag;
    wire.operation.place_job_group = ToWire(arena, place.group, place.placement);
  }

  void operator()(const AddUsage& add) const {
    wire.which_operation = millstair_ClusterCommand_add_usage_tag;
    wire.operation.add_usage = ToWire(arena, add.report);
  }

  void operator()(const CloseUsage& close) const {
    wire.which_operation = millstair_ClusterCommand_close_usage_tag;
    wire.operation.close_usage = millstair_CloseUsage_init_zero;
    wire.operation.close_usage.through = close.through.value();
  }

  void operator()(const AcceptUsage& accept) const {
    wire.which_operation = millstair_ClusterCommand_accept_usage_tag;
    wire.operation.accept_usage = millstair_AcceptUsage_init_zero;
    wire.operation.accept_usage.window = accept.window.value();
  }

  void operator()(const AnnounceTaskLease& announce) const {
    wire.which_operation = millstair_ClusterCommand_announce_duty_tag;
    wire.operation.announce_duty = ToWire(arena, announce.announcement);
  }

  void operator()(const ReportCrashes& report) const {
    wire.which_operation = millstair_ClusterCommand_report_crashes_tag;
    millstair_ReportCrashes& target = wire.operation.report_crashes;
    target = millstair_ReportCrashes_init_zero;
    target.reports =
        NewWireArray<millstair_SuspectRequest>(arena, report.reports, &target.reports_count);
  }

  void operator()(const BeginTrial& begin) const {
    wire.which_operation = millstair_ClusterCommand_begin_trial_tag;
    millstair_BeginTrial& target = wire.operation.begin_trial;
    target = millstair_BeginTrial_init_zero;
    target.request = arena.NewString(begin.request.value());
    target.seen = begin.seen.value();
  }

  void operator()(const ClearSuspect& clear) const {
    wire.which_operation = millstair_ClusterCommand_clear_suspect_tag;
    millstair_ClearSuspect& target = wire.operation.clear_suspect;
    target = millstair_ClearSuspect_init_zero;
    target.request = arena.NewString(clear.request.value());
    target.crashes = clear.crashes;
  }

  void operator()(const EvacuateZone& evacuate) const {
    wire.which_operation = millstair_ClusterCommand_evacuate_zone_tag;
    millstair_EvacuateZone& target = wire.operation.evacuate_zone;
    target = millstair_EvacuateZone_init_zero;
    target.zone = arena.NewString(evacuate.zone.value());
    target.ends = evacuate.ends;
  }

  void operator()(const UpdateInstances& update) const {
    wire.which_operation = millstair_ClusterCommand_update_instances_tag;
    millstair_UpdateInstances& target = wire.operation.update_instances;
    target = millstair_UpdateInstances_init_zero;
    target.instances =
        NewWireArray<millstair_BackendInstance>(arena, update.instances, &target.instances_count);
  }

  void operator()(const SetPoolSize& set) const {
    wire.which_operation = millstair_ClusterCommand_set_pool_size_tag;
    wire.operation.set_pool_size = ToWire(arena, set.size);
  }

  void operator()(const ReportPoolNeeds& report) const {
    wire.which_operation = millstair_ClusterCommand_report_pool_needs_tag;
    wire.operation.report_pool_needs = ToWire(arena, report.report);
  }

  void operator()(const RetireNode& retire) const {
    wire.which_operation = millstair_ClusterCommand_retire_node_tag;
    wire.operation.retire_node = ToWire(arena, retire.retired);
  }
};

bool FromWire(const millstair_PutResources& wire, PutResources& put) {
  return FromWireArray(wire.items, wire.items_count, put.items);
}

bool FromWire(const millstair_DeleteResource& wire, DeleteResource& erase) {
  if (!wire.has_key) return false;
  erase.expected = ExpectedFromWire(wire.has_expected, wire.expected);
  return FromWire(wire.key, erase.key);
}

bool FromWire(const millstair_ClaimKey& wire, ClaimKey& claim) {
  claim.key = ToString(wire.key);
  claim.gateway = NodeId(ToString(wire.gateway));
  claim.incarnation = Incarnation(wire.incarnation);
  claim.request_digest = ToString(wire.request_digest);
  if (wire.has_issued) claim.issued = FromMilliseconds(wire.issued_milliseconds);
  claim.attempt = wire.attempt;
  return !claim.key.empty();
}

bool FromWire(const millstair_SettleClaim& wire, SettleClaim& settle) {
  settle.key = ToString(wire.key);
  settle.gateway = NodeId(ToString(wire.gateway));
  settle.incarnation = Incarnation(wire.incarnation);
  settle.released = wire.released;
  settle.answer_status = wire.answer_status;
  settle.attempt = wire.attempt;
  return !settle.key.empty();
}

bool FromWire(const millstair_PublishVersion& wire, PublishVersion& publish) {
  if (!wire.has_version) return false;
  publish.model = ModelName(ToString(wire.model));
  return FromWire(wire.version, publish.version);
}

bool FromWire(const millstair_SetModelTarget& wire, SetModelTarget& set) {
  set.model = ModelName(ToString(wire.model));
  set.staged = WeightVersion(wire.staged);
  set.active = WeightVersion(wire.active);
  return true;
}

bool FromWire(const millstair_UpdateMembers& wire, UpdateMembers& update) {
  for (const std::string& node : StringsFromWire(wire.deleted_nodes, wire.deleted_nodes_count)) {
    update.deleted_nodes.emplace_back(node);
  }
  return FromWireArray(wire.nodes, wire.nodes_count, update.nodes) &&
         FromWireArray(wire.machines, wire.machines_count, update.machines) &&
         FromWireArray(wire.engines, wire.engines_count, update.engines);
}

bool OperationFromWire(const millstair_ClusterCommand& wire, ClusterOperation& operation) {
  switch (wire.which_operation) {
    case millstair_ClusterCommand_open_session_tag:
      operation = OpenSession{};
      return true;
    case millstair_ClusterCommand_put_resources_tag:
      return FromWire(wire.operation.put_resources, operation.emplace<PutResources>());
    case millstair_ClusterCommand_delete_resource_tag:
      return FromWire(wire.operation.delete_resource, operation.emplace<DeleteResource>());
    case millstair_ClusterCommand_claim_key_tag:
      return FromWire(wire.operation.claim_key, operation.emplace<ClaimKey>());
    case millstair_ClusterCommand_settle_claim_tag:
      return FromWire(wire.operation.settle_claim, operation.emplace<SettleClaim>());
    case millstair_ClusterCommand_publish_version_tag:
      return FromWire(wire.operation.publish_version, operation.emplace<PublishVersion>());
    case millstair_ClusterCommand_set_model_target_tag:
      return FromWire(wire.operation.set_model_target, operation.emplace<SetModelTarget>());
    case millstair_ClusterCommand_update_members_tag:
      return FromWire(wire.operation.update_members, operation.emplace<UpdateMembers>());
    case millstair_ClusterCommand_found_group_tag:
      return FromWire(wire.operation.found_group, operation.emplace<BootstrapStreamGroup>());
    case millstair_ClusterCommand_replace_routing_tag:
      return FromWire(wire.operation.replace_routing, operation.emplace<ReplaceRouting>().document);
    case millstair_ClusterCommand_update_instance_tag:
      return FromWire(wire.operation.update_instance, operation.emplace<UpdateInstance>().instance);
    case millstair_ClusterCommand_name_version_tag:
      return FromWire(wire.operation.name_version, operation.emplace<NameVersion>().named);
    case millstair_ClusterCommand_found_job_group_tag:
      return FromWire(wire.operation.found_job_group, operation.emplace<BootstrapJobGroup>().group);
    case millstair_ClusterCommand_place_job_group_tag: {
      const millstair_JobGroupPlacement& placed = wire.operation.place_job_group;
      PlaceJobGroup& place = operation.emplace<PlaceJobGroup>();
      place.group = GroupId(ToString(placed.group));
      return FromWire(placed, place.placement);
    }
    case millstair_ClusterCommand_add_usage_tag:
      return FromWire(wire.operation.add_usage, operation.emplace<AddUsage>().report);
    case millstair_ClusterCommand_close_usage_tag:
      operation = CloseUsage{UsageWindow(wire.operation.close_usage.through)};
      return true;
    case millstair_ClusterCommand_accept_usage_tag:
      operation = AcceptUsage{UsageWindow(wire.operation.accept_usage.window)};
      return true;
    case millstair_ClusterCommand_announce_duty_tag:
      return FromWire(wire.operation.announce_duty,
                      operation.emplace<AnnounceTaskLease>().announcement);
    case millstair_ClusterCommand_report_crashes_tag: {
      const millstair_ReportCrashes& report = wire.operation.report_crashes;
      return FromWireArray(report.reports, report.reports_count,
                           operation.emplace<ReportCrashes>().reports);
    }
    case millstair_ClusterCommand_begin_trial_tag:
      operation = BeginTrial{RequestFingerprint(ToString(wire.operation.begin_trial.request)),
                             Revision(wire.operation.begin_trial.seen)};
      return true;
    case millstair_ClusterCommand_clear_suspect_tag:
      operation = ClearSuspect{RequestFingerprint(ToString(wire.operation.clear_suspect.request)),
                               wire.operation.clear_suspect.crashes};
      return true;
    case millstair_ClusterCommand_evacuate_zone_tag:
      operation = EvacuateZone{Zone(ToString(wire.operation.evacuate_zone.zone)),
                               wire.operation.evacuate_zone.ends};
      return true;
    case millstair_ClusterCommand_update_instances_tag: {
      const millstair_UpdateInstances& update = wire.operation.update_instances;
      return FromWireArray(update.instances, update.instances_count,
                           operation.emplace<UpdateInstances>().instances);
    }
    case millstair_ClusterCommand_set_pool_size_tag:
      return FromWire(wire.operation.set_pool_size, operation.emplace<SetPoolSize>().size);
    case millstair_ClusterCommand_report_pool_needs_tag:
      return FromWire(wire.operation.report_pool_needs,
                      operation.emplace<ReportPoolNeeds>().report);
    case millstair_ClusterCommand_retire_node_tag:
      return FromWire(wire.operation.retire_node, operation.emplace<RetireNode>().retired);
    default:
      return false;
  }
}

bool CodeFromWire(uint32_t wire, ClusterResultCode& code) {
  if (wire < static_cast<uint32_t>(ClusterResultCode::kOk)) return false;
  if (wire > static_cast<uint32_t>(ClusterResultCode::kClaimMismatch)) return false;
  code = static_cast<ClusterResultCode>(wire);
  return true;
}

}  // namespace

std::string EncodeCommand(const ClusterCommand& command) {
  WireArena arena;
  millstair_ClusterCommand wire = millstair_ClusterCommand_init_zero;
  wire.has_session = command.session.has_value();
  if (command.session) {
    wire.client = arena.NewString(command.session->client.value());
    wire.sequence = command.session->sequence.value();
  }
  wire.proposed_at_milliseconds = ToMilliseconds(command.proposed_at);
  std::visit(OperationWriter{arena, wire}, command.operation);
  return EncodeNanopb(millstair_ClusterCommand_fields, &wire);
}

absl::StatusOr<ClusterCommand> DecodeCommand(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_ClusterCommand>::Decode(millstair_ClusterCommand_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_ClusterCommand& wire = **decoded;
  ClusterCommand command;
  if (wire.has_session) {
    command.session = SessionStamp{ClientId(ToString(wire.client)), ClientSequence(wire.sequence)};
  }
  command.proposed_at = FromMilliseconds(wire.proposed_at_milliseconds);
  if (!OperationFromWire(wire, command.operation)) {
    return absl::InvalidArgumentError("cluster command without a valid operation");
  }
  return command;
}

std::string EncodeResult(const ClusterResult& result) {
  WireArena arena;
  millstair_ClusterResult wire = millstair_ClusterResult_init_zero;
  wire.code = static_cast<uint32_t>(result.code);
  wire.revision = result.revision.value();
  wire.conflicting =
      NewWireArray<millstair_Resource>(arena, result.conflicting, &wire.conflicting_count);
  wire.session = arena.NewString(result.session.value());
  wire.message = arena.NewString(result.message);
  return EncodeNanopb(millstair_ClusterResult_fields, &wire);
}

absl::StatusOr<ClusterResult> DecodeResult(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_ClusterResult>::Decode(millstair_ClusterResult_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_ClusterResult& wire = **decoded;
  ClusterResult result;
  result.revision = Revision(wire.revision);
  result.session = ClientId(ToString(wire.session));
  result.message = ToString(wire.message);
  if (!CodeFromWire(wire.code, result.code) ||
      !FromWireArray(wire.conflicting, wire.conflicting_count, result.conflicting)) {
    return absl::InvalidArgumentError("cluster result with an unknown code or kind");
  }
  return result;
}

}  // namespace millstair
