#include "cluster/resource_wire.h"

namespace millstair {

// Not in the unnamed namespace, so that NewWireArray and FromWireArray find them.
static millstair_SelectorRequirement ToWire(WireArena& arena,
                                            const SelectorRequirement& requirement) {
  millstair_SelectorRequirement wire = millstair_SelectorRequirement_init_zero;
  wire.key = arena.NewString(requirement.key);
  wire.op = static_cast<uint32_t>(requirement.op);
  wire.values = NewStrings(arena, requirement.values, &wire.values_count);
  return wire;
}

static bool FromWire(const millstair_SelectorRequirement& wire, SelectorRequirement& requirement) {
  if (wire.op > static_cast<uint32_t>(SelectorOperator::kDoesNotExist)) return false;
  requirement.key = ToString(wire.key);
  requirement.op = static_cast<SelectorOperator>(wire.op);
  requirement.values = StringsFromWire(wire.values, wire.values_count);
  return true;
}

namespace {

constexpr uint32_t kLastKind = static_cast<uint32_t>(ResourceKind::kMatch);

millstair_LabelEntry* LabelsToWire(WireArena& arena, const Labels& labels, pb_size_t* count) {
  auto* entries = arena.NewArray<millstair_LabelEntry>(labels.size());
  size_t i = 0;
  for (const auto& [key, value] : labels) {
    entries[i].key = arena.NewString(key);
    entries[i].value = arena.NewString(value);
    ++i;
  }
  *count = static_cast<pb_size_t>(labels.size());
  return entries;
}

Labels LabelsFromWire(const millstair_LabelEntry* entries, pb_size_t count) {
  Labels labels;
  for (pb_size_t i = 0; i < count; ++i) {
    labels[ToString(entries[i].key)] = ToString(entries[i].value);
  }
  return labels;
}

millstair_Selector ToWire(WireArena& arena, const Selector& selector) {
  millstair_Selector wire = millstair_Selector_init_zero;
  wire.match_labels = LabelsToWire(arena, selector.match_labels, &wire.match_labels_count);
  wire.match_expressions = NewWireArray<millstair_SelectorRequirement>(
      arena, selector.match_expressions, &wire.match_expressions_count);
  return wire;
}

bool FromWire(const millstair_Selector& wire, Selector& selector) {
  selector.match_labels = LabelsFromWire(wire.match_labels, wire.match_labels_count);
  return FromWireArray(wire.match_expressions, wire.match_expressions_count,
                       selector.match_expressions);
}

bool OptionalSelectorFromWire(bool present, const millstair_Selector& wire,
                              std::optional<Selector>& selector) {
  if (!present) return true;
  return FromWire(wire, selector.emplace());
}

/// Encodes a spec into a wire resource; one overload per kind.
struct SpecWriter {
  WireArena& arena;
  millstair_Resource& wire;

  void operator()(const MachineSpec& spec) const {
    wire.which_spec = millstair_Resource_machine_tag;
    wire.spec.machine = millstair_MachineSpec_init_zero;
    wire.spec.machine.zone = arena.NewString(spec.zone.value());
    wire.spec.machine.address = arena.NewString(spec.address);
    wire.spec.machine.drain = spec.drain;
  }

  void operator()(const EngineSpec& spec) const {
    wire.which_spec = millstair_Resource_engine_tag;
    wire.spec.engine = millstair_EngineSpec_init_zero;
    wire.spec.engine.type = static_cast<uint32_t>(spec.type);
    wire.spec.engine.machine = arena.NewString(spec.machine);
    wire.spec.engine.address = arena.NewString(spec.address);
    wire.spec.engine.drain = spec.drain;
  }

  void operator()(const ModelSpec& spec) const {
    wire.which_spec = millstair_Resource_model_tag;
    wire.spec.model = millstair_ModelSpec_init_zero;
    wire.spec.model.weight_store = arena.NewString(spec.weight_store);
    wire.spec.model.store_bytes_per_second = spec.store_bytes_per_second;
    wire.spec.model.version_bytes = spec.version_bytes;
    wire.spec.model.live_capacity_floor = spec.live_capacity_floor;
  }

  void operator()(const AdapterSpec& spec) const {
    wire.which_spec = millstair_Resource_adapter_tag;
    wire.spec.adapter = millstair_AdapterSpec_init_zero;
    wire.spec.adapter.model = arena.NewString(spec.model.value());
    wire.spec.adapter.digest = arena.NewString(spec.digest.value());
    wire.spec.adapter.location = arena.NewString(spec.location);
  }

  void operator()(const PoolSpec& spec) const {
    wire.which_spec = millstair_Resource_pool_tag;
    wire.spec.pool = millstair_PoolSpec_init_zero;
    wire.spec.pool.model = arena.NewString(spec.model.value());
    wire.spec.pool.share = spec.share;
    wire.spec.pool.max_in_flight = spec.max_in_flight;
  }

  void operator()(const StreamSpec& spec) const {
    wire.which_spec = millstair_Resource_stream_tag;
    wire.spec.stream = millstair_StreamSpec_init_zero;
    wire.spec.stream.pool = arena.NewString(spec.pool);
    wire.spec.stream.staleness_bound = spec.staleness_bound;
    wire.spec.stream.idle_time_weight = spec.idle_time_weight;
    wire.spec.stream.max_tokens = spec.max_tokens;
    wire.spec.stream.scorer = arena.NewString(spec.scorer);
  }

  void operator()(const TrafficGroupSpec& spec) const {
    wire.which_spec = millstair_Resource_traffic_group_tag;
    millstair_TrafficGroupSpec& group = wire.spec.traffic_group;
    group = millstair_TrafficGroupSpec_init_zero;
    group.hosts = NewStrings(arena, spec.hosts, &group.hosts_count);
    group.path_prefix = arena.NewString(spec.path_prefix);
    group.model = arena.NewString(spec.model.value());
    group.repeatable = spec.repeatable;
    group.priority = spec.priority;
    group.max_concurrent = spec.max_concurrent;
    group.max_queued = spec.max_queued;
    group.deadline_microseconds = spec.deadline.count();
    group.serve_when_isolated = spec.serve_when_isolated;
    group.hedge_after_microseconds = spec.hedge_after.count();
  }

  void operator()(const MatchSpec& spec) const {
    wire.which_spec = millstair_Resource_match_tag;
    millstair_MatchSpec& match = wire.spec.match;
    match = millstair_MatchSpec_init_zero;
    match.has_workloads = spec.workloads.has_value();
    match.has_models = spec.models.has_value();
    match.has_engines = spec.engines.has_value();
    if (spec.workloads) match.workloads = ToWire(arena, *spec.workloads);
    if (spec.models) match.models = ToWire(arena, *spec.models);
    if (spec.engines) match.engines = ToWire(arena, *spec.engines);
  }
};

MachineSpec MachineFromWire(const millstair_MachineSpec& wire) {
  return {Zone(ToString(wire.zone)), ToString(wire.address), wire.drain};
}

ModelSpec ModelFromWire(const millstair_ModelSpec& wire) {
  return {ToString(wire.weight_store), wire.store_bytes_per_second, wire.version_bytes,
          wire.live_capacity_floor};
}

AdapterSpec AdapterFromWire(const millstair_AdapterSpec& wire) {
  return {ModelName(ToString(wire.model)), WeightDigest(ToString(wire.digest)),
          ToString(wire.location)};
}

PoolSpec PoolFromWire(const millstair_PoolSpec& wire) {
  return {ModelName(ToString(wire.model)), wire.share, wire.max_in_flight};
}

StreamSpec StreamFromWire(const millstair_StreamSpec& wire) {
  return {ToString(wire.pool), wire.staleness_bound, wire.idle_time_weight, wire.max_tokens,
          ToString(wire.scorer)};
}

TrafficGroupSpec TrafficGroupFromWire(const millstair_TrafficGroupSpec& wire) {
  TrafficGroupSpec spec;
  spec.hosts = StringsFromWire(wire.hosts, wire.hosts_count);
  spec.path_prefix = ToString(wire.path_prefix);
  spec.model = ModelName(ToString(wire.model));
  spec.repeatable = wire.repeatable;
  spec.priority = wire.priority;
  spec.max_concurrent = wire.max_concurrent;
  spec.max_queued = wire.max_queued;
  spec.deadline = Duration(wire.deadline_microseconds);
  spec.serve_when_isolated = wire.serve_when_isolated;
  spec.hedge_after = Duration(wire.hedge_after_microseconds);
  return spec;
}

bool EngineFromWire(const millstair_EngineSpec& wire, EngineSpec& spec) {
  if (wire.type > static_cast<uint32_t>(EngineType::kHttp)) return false;
  spec.type = static_cast<EngineType>(wire.type);
  spec.machine = ToString(wire.machine);
  spec.address = ToString(wire.address);
  spec.drain = wire.drain;
  return true;
}

bool MatchFromWire(const millstair_MatchSpec& wire, MatchSpec& spec) {
  return OptionalSelectorFromWire(wire.has_workloads, wire.workloads, spec.workloads) &&
         OptionalSelectorFromWire(wire.has_models, wire.models, spec.models) &&
         OptionalSelectorFromWire(wire.has_engines, wire.engines, spec.engines);
}

}  // namespace

char** NewStrings(WireArena& arena, const std::vector<std::string>& strings, pb_size_t* count) {
  char** array = arena.NewArray<char*>(strings.size());
  for (size_t i = 0; i < strings.size(); ++i) array[i] = arena.NewString(strings[i]);
  *count = static_cast<pb_size_t>(strings.size());
  return array;
}

std::vector<std::string> StringsFromWire(char* const* strings, pb_size_t count) {
  std::vector<std::string> result;
  result.reserve(count);
  for (pb_size_t i = 0; i < count; ++i) result.push_back(ToString(strings[i]));
  return result;
}

millstair_Resource ToWire(WireArena& arena, const Resource& resource) {
  millstair_Resource wire = millstair_Resource_init_zero;
  wire.name = arena.NewString(resource.name);
  wire.labels = LabelsToWire(arena, resource.labels, &wire.labels_count);
  wire.version = resource.version.value();
  std::visit(SpecWriter{arena, wire}, resource.spec);
  return wire;
}

bool FromWire(const millstair_Resource& wire, Resource& resource) {
  resource.name = ToString(wire.name);
  resource.labels = LabelsFromWire(wire.labels, wire.labels_count);
  resource.version = Revision(wire.version);
  switch (wire.which_spec) {
    case millstair_Resource_machine_tag:
      resource.spec = MachineFromWire(wire.spec.machine);
      return true;
    case millstair_Resource_engine_tag:
      return EngineFromWire(wire.spec.engine, resource.spec.emplace<EngineSpec>());
    case millstair_Resource_model_tag:
      resource.spec = ModelFromWire(wire.spec.model);
      return true;
    case millstair_Resource_adapter_tag:
      resource.spec = AdapterFromWire(wire.spec.adapter);
      return true;
    case millstair_Resource_pool_tag:
      resource.spec = PoolFromWire(wire.spec.pool);
      return true;
    case millstair_Resource_stream_tag:
      resource.spec = StreamFromWire(wire.spec.stream);
      return true;
    case millstair_Resource_traffic_group_tag:
      resource.spec = TrafficGroupFromWire(wire.spec.traffic_group);
      return true;
    case millstair_Resource_match_tag:
      return MatchFromWire(wire.spec.match, resource.spec.emplace<MatchSpec>());
    default:
      return false;
  }
}

millstair_ResourceKey ToWire(WireArena& arena, const ResourceKey& key) {
  millstair_ResourceKey wire = millstair_ResourceKey_init_zero;
  wire.kind = static_cast<uint32_t>(key.kind);
  wire.name = arena.NewString(key.name);
  return wire;
}

bool FromWire(const millstair_ResourceKey& wire, ResourceKey& key) {
  if (wire.kind > kLastKind) return false;
  key.kind = static_cast<ResourceKind>(wire.kind);
  key.name = ToString(wire.name);
  return true;
}

}  // namespace millstair
