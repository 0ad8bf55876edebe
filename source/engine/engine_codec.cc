#include "engine/engine_codec.h"

#include <utility>

#include "boost/json.hpp"
#include "engine/json_reader.h"

namespace millstair {
namespace {

namespace json = boost::json;

json::array ToArray(const std::vector<std::string>& texts) {
  json::array array;
  array.reserve(texts.size());
  for (const std::string& text : texts) array.emplace_back(text);
  return array;
}

/// Returns the decoded message, or the errors of the reader.
template <class Message>
absl::StatusOr<Message> Result(const JsonReader& reader, Message message) {
  if (absl::Status status = reader.status(); !status.ok()) return status;
  return message;
}

/// Events are encoded compactly as [sequence, stored, "<hex>"].
bool DecodeEvent(const json::value& item, CacheEvent& event) {
  const json::array* parts = item.if_array();
  if (parts == nullptr || parts->size() != 3 || !(*parts)[1].is_bool()) return false;
  event.stored = (*parts)[1].get_bool();
  return UnsignedFromJson((*parts)[0], event.sequence) && HashFromJson((*parts)[2], event.block);
}

}  // namespace

std::string EncodeGenerateRequest(const GenerateRequest& request) {
  return json::serialize(json::object{{"request_id", request.request_id},
                                      {"model", request.model.value()},
                                      {"adapter", request.adapter},
                                      {"prompt", request.prompt},
                                      {"max_tokens", request.max_tokens},
                                      {"priority", static_cast<uint64_t>(request.priority)},
                                      {"resume_tokens", ToArray(request.resume_tokens)},
                                      {"kv_source", request.kv_source}});
}

absl::StatusOr<GenerateRequest> DecodeGenerateRequest(std::string_view text) {
  JsonReader reader("generate request", text);
  GenerateRequest request;
  reader.Read("request_id", request.request_id);
  reader.Read("model", request.model);
  reader.ReadOptional("adapter", request.adapter);
  reader.Read("prompt", request.prompt);
  reader.Read("max_tokens", request.max_tokens);
  reader.ReadEnum("priority", RequestPriority::kRollout, RequestPriority::kUrgentLive,
                  request.priority);
  reader.ReadOptional("resume_tokens", request.resume_tokens);
  reader.ReadOptional("kv_source", request.kv_source);
  return Result(reader, std::move(request));
}

std::string EncodeGenerateChunk(const GenerateChunk& chunk) {
  return json::serialize(json::object{{"tokens", ToArray(chunk.tokens)},
                                      {"first_token", chunk.first_token},
                                      {"version", chunk.version.value()},
                                      {"digest", chunk.digest.value()},
                                      {"engine_incarnation", chunk.engine_incarnation.value()},
                                      {"finished", chunk.finished}});
}

absl::StatusOr<GenerateChunk> DecodeGenerateChunk(std::string_view text) {
  JsonReader reader("generate chunk", text);
  GenerateChunk chunk;
  reader.Read("tokens", chunk.tokens);
  reader.Read("first_token", chunk.first_token);
  reader.Read("version", chunk.version);
  reader.Read("digest", chunk.digest);
  reader.Read("engine_incarnation", chunk.engine_incarnation);
  reader.Read("finished", chunk.finished);
  return Result(reader, std::move(chunk));
}

std::string EncodeEngineOrder(const EngineOrder& order) {
  return json::serialize(json::object{{"kind", static_cast<uint64_t>(order.kind)},
                                      {"fence", order.fence.value()},
                                      {"model", order.model.value()},
                                      {"version", order.version.value()},
                                      {"digest", order.digest.value()},
                                      {"location", order.location},
                                      {"adapter", order.adapter},
                                      {"role", order.role}});
}

absl::StatusOr<EngineOrder> DecodeEngineOrder(std::string_view text) {
  JsonReader reader("engine order", text);
  EngineOrder order;
  reader.ReadEnum("kind", OrderKind::kStage, OrderKind::kChangeRole, order.kind);
  reader.Read("fence", order.fence);
  reader.Read("model", order.model);
  reader.Read("version", order.version);
  reader.Read("digest", order.digest);
  reader.ReadOptional("location", order.location);
  reader.ReadOptional("adapter", order.adapter);
  reader.ReadOptional("role", order.role);
  return Result(reader, std::move(order));
}

std::string EncodeEngineReport(const EngineReport& report) {
  json::array staged;
  for (const WeightVersion version : report.staged_versions) staged.push_back(version.value());
  return json::serialize(json::object{{"incarnation", report.incarnation.value()},
                                      {"model", report.model.value()},
                                      {"active_version", report.active_version.value()},
                                      {"active_digest", report.active_digest.value()},
                                      {"staged_versions", std::move(staged)},
                                      {"shards", static_cast<uint64_t>(report.shards)},
                                      {"last_fence", report.last_fence.value()},
                                      {"draining", report.draining},
                                      {"role", report.role},
                                      {"running_sequences", report.running_sequences},
                                      {"waiting_sequences", report.waiting_sequences},
                                      {"max_sequences", report.max_sequences},
                                      {"waiting_prefill_tokens", report.waiting_prefill_tokens},
                                      {"free_kv_blocks", report.free_kv_blocks},
                                      {"total_kv_blocks", report.total_kv_blocks},
                                      {"step_time_us", report.step_time.count()},
                                      {"age_us", report.age.count()},
                                      {"newest_cache_event", report.newest_cache_event}});
}

absl::StatusOr<EngineReport> DecodeEngineReport(std::string_view text) {
  JsonReader reader("engine report", text);
  EngineReport report;
  reader.Read("incarnation", report.incarnation);
  reader.Read("model", report.model);
  reader.Read("active_version", report.active_version);
  reader.Read("active_digest", report.active_digest);
  reader.Read("staged_versions", report.staged_versions);
  reader.ReadEnum("shards", ShardState::kConsistent, ShardState::kMixed, report.shards);
  reader.Read("last_fence", report.last_fence);
  reader.Read("draining", report.draining);
  reader.ReadOptional("role", report.role);
  reader.Read("running_sequences", report.running_sequences);
  reader.Read("waiting_sequences", report.waiting_sequences);
  reader.Read("max_sequences", report.max_sequences);
  reader.Read("waiting_prefill_tokens", report.waiting_prefill_tokens);
  reader.Read("free_kv_blocks", report.free_kv_blocks);
  reader.Read("total_kv_blocks", report.total_kv_blocks);
  reader.Read("step_time_us", report.step_time);
  reader.Read("age_us", report.age);
  reader.Read("newest_cache_event", report.newest_cache_event);
  return Result(reader, std::move(report));
}

std::string EncodeCacheEvents(const CacheEvents& events) {
  json::array items;
  items.reserve(events.events.size());
  for (const CacheEvent& event : events.events) {
    items.push_back(json::array{event.sequence, event.stored, HashToHex(event.block)});
  }
  return json::serialize(json::object{{"incarnation", events.incarnation.value()},
                                      {"events", std::move(items)},
                                      {"gap", events.gap},
                                      {"newest", events.newest}});
}

absl::StatusOr<CacheEvents> DecodeCacheEvents(std::string_view text) {
  JsonReader reader("cache events", text);
  CacheEvents events;
  reader.Read("incarnation", events.incarnation);
  reader.Read("gap", events.gap);
  reader.Read("newest", events.newest);
  if (const json::array* items = reader.Array("events")) {
    events.events.reserve(items->size());
    for (const json::value& item : *items) {
      CacheEvent event;
      if (!DecodeEvent(item, event)) {
        reader.Fail("events", "must hold [sequence, stored, hash]");
        break;
      }
      events.events.push_back(event);
    }
  }
  return Result(reader, std::move(events));
}

std::string EncodeBlockList(const std::vector<BlockHash>& blocks) {
  json::array items;
  items.reserve(blocks.size());
  for (const BlockHash block : blocks) items.emplace_back(HashToHex(block));
  return json::serialize(json::object{{"blocks", std::move(items)}});
}

absl::StatusOr<std::vector<BlockHash>> DecodeBlockList(std::string_view text) {
  JsonReader reader("block list", text);
  std::vector<BlockHash> blocks;
  reader.ReadHashes("blocks", blocks);
  return Result(reader, std::move(blocks));
}

}  // namespace millstair
