#include "gateway/observation_codec.h"

#include <algorithm>

#include "api/generated/observation.pb.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

void FillCache(WireArena& arena, const SharedCache& cache, millstair_SharedCacheEvents& wire) {
  wire.incarnation = cache.events.incarnation.value();
  wire.after = cache.after;
  wire.newest = cache.events.newest;
  wire.resync = cache.resync;
  wire.gap = cache.events.gap;
  wire.events_count = static_cast<pb_size_t>(cache.events.events.size());
  wire.events = arena.NewArray<millstair_SharedCacheEvent>(cache.events.events.size());
  for (size_t i = 0; i < cache.events.events.size(); ++i) {
    wire.events[i].sequence = cache.events.events[i].sequence;
    wire.events[i].stored = cache.events.events[i].stored;
    wire.events[i].block = cache.events.events[i].block;
  }
}

void FillEngine(WireArena& arena, const ObservedEngineState& engine,
                millstair_ObservedEngine& wire) {
  const EngineReport& report = engine.report;
  wire.engine = arena.NewString(engine.engine.value());
  wire.incarnation = report.incarnation.value();
  wire.model = arena.NewString(report.model.value());
  wire.active_version = report.active_version.value();
  wire.shards = static_cast<uint32_t>(report.shards);
  wire.draining = report.draining;
  wire.running_sequences = report.running_sequences;
  wire.waiting_sequences = report.waiting_sequences;
  wire.max_sequences = report.max_sequences;
  wire.waiting_prefill_tokens = report.waiting_prefill_tokens;
  wire.free_kv_blocks = report.free_kv_blocks;
  wire.total_kv_blocks = report.total_kv_blocks;
  wire.step_time_us = static_cast<uint64_t>(report.step_time.count());
  wire.age_us = static_cast<uint64_t>(report.age.count());
  wire.newest_cache_event = report.newest_cache_event;
  wire.plain = engine.plain;
  wire.has_cache = engine.cache.has_value();
  if (engine.cache) FillCache(arena, *engine.cache, wire.cache);
}

SharedCache ReadCache(const millstair_SharedCacheEvents& wire) {
  SharedCache cache;
  cache.after = wire.after;
  cache.resync = wire.resync;
  cache.events.incarnation = Incarnation(wire.incarnation);
  cache.events.newest = wire.newest;
  cache.events.gap = wire.gap;
  for (pb_size_t i = 0; i < wire.events_count; ++i) {
    const millstair_SharedCacheEvent& event = wire.events[i];
    cache.events.events.push_back({event.sequence, event.stored, event.block});
  }
  return cache;
}

/// False if a field is out of range.
bool ReadEngine(const millstair_ObservedEngine& wire, ObservedEngineState& engine) {
  constexpr uint64_t kMaxDurationUs = 1ULL << 50;
  if (wire.shards < static_cast<uint32_t>(ShardState::kConsistent) ||
      wire.shards > static_cast<uint32_t>(ShardState::kMixed)) {
    return false;
  }
  if (wire.age_us > kMaxDurationUs || wire.step_time_us > kMaxDurationUs) return false;
  EngineReport& report = engine.report;
  engine.engine = EngineName(ToString(wire.engine));
  report.incarnation = Incarnation(wire.incarnation);
  report.model = ModelName(ToString(wire.model));
  report.active_version = WeightVersion(wire.active_version);
  report.shards = static_cast<ShardState>(wire.shards);
  report.draining = wire.draining;
  report.running_sequences = wire.running_sequences;
  report.waiting_sequences = wire.waiting_sequences;
  report.max_sequences = wire.max_sequences;
  report.waiting_prefill_tokens = wire.waiting_prefill_tokens;
  report.free_kv_blocks = wire.free_kv_blocks;
  report.total_kv_blocks = wire.total_kv_blocks;
  report.step_time = Duration(static_cast<Duration::rep>(wire.step_time_us));
  report.age = Duration(static_cast<Duration::rep>(wire.age_us));
  report.newest_cache_event = wire.newest_cache_event;
  engine.plain = wire.plain;
  if (wire.has_cache) engine.cache = ReadCache(wire.cache);
  return true;
}

}  // namespace

std::string EncodeObservations(const EngineObservationsMessage& message) {
  WireArena arena;
  millstair_EngineObservations wire = millstair_EngineObservations_init_zero;
  wire.relay = message.relay;
  wire.engines_count = static_cast<pb_size_t>(message.engines.size());
  wire.engines = arena.NewArray<millstair_ObservedEngine>(message.engines.size());
  for (size_t i = 0; i < message.engines.size(); ++i) {
    FillEngine(arena, message.engines[i], wire.engines[i]);
  }
  return EncodeNanopb(millstair_EngineObservations_fields, &wire);
}

absl::StatusOr<EngineObservationsMessage> DecodeObservations(std::string_view bytes) {
  auto wire = DecodedMessage<millstair_EngineObservations>::Decode(
      millstair_EngineObservations_fields, bytes);
  if (!wire.ok()) return wire.status();
  EngineObservationsMessage message;
  message.relay = (*wire)->relay;
  for (pb_size_t i = 0; i < (*wire)->engines_count; ++i) {
    ObservedEngineState engine;
    if (!ReadEngine((*wire)->engines[i], engine)) {
      return absl::InvalidArgumentError("bad message: engine observation out of bounds");
    }
    message.engines.push_back(std::move(engine));
  }
  return message;
}

}  // namespace millstair
