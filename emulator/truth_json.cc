#include "emulator/truth_json.h"

#include <utility>

#include "boost/json.hpp"
#include "engine/json_reader.h"

namespace millstair {
namespace {

namespace json = boost::json;

json::object CountsObject(const EngineCounts& counts) {
  return {{"accepted", counts.accepted},
          {"accepted_while_draining", counts.accepted_while_draining},
          {"refused", counts.refused},
          {"finished", counts.finished},
          {"cancelled", counts.cancelled},
          {"failed_by_crash", counts.failed_by_crash},
          {"preempted", counts.preempted},
          {"tokens", counts.tokens},
          {"mixed_tokens", counts.mixed_tokens},
          {"steps", counts.steps},
          {"prefill_tokens", counts.prefill_tokens},
          {"prefix_blocks_reused", counts.prefix_blocks_reused},
          {"prefix_blocks_missed", counts.prefix_blocks_missed},
          {"blocks_evicted", counts.blocks_evicted},
          {"kv_blocks_imported", counts.kv_blocks_imported},
          {"orders_accepted", counts.orders_accepted},
          {"orders_refused_by_fence", counts.orders_refused_by_fence},
          {"swaps", counts.swaps},
          {"swaps_failed", counts.swaps_failed}};
}

json::object SpanObject(const TruthSpan& truth) {
  return {{"version", truth.span.version.value()},
          {"digest", truth.span.digest.value()},
          {"engine_incarnation", truth.span.engine_incarnation.value()},
          {"first_token", truth.span.first_token},
          {"token_count", truth.span.token_count},
          {"mixed", truth.mixed}};
}

json::object RecordObject(const TruthRecord& record) {
  json::array spans;
  for (const TruthSpan& span : record.spans) spans.push_back(SpanObject(span));
  return {{"request_id", record.request_id},
          {"prompt", HashToHex(record.prompt.value)},
          {"executions", record.executions},
          {"accepted_at_us", record.accepted_at.time_since_epoch().count()},
          {"finished", record.finished},
          {"cancelled", record.cancelled},
          {"spans", std::move(spans)}};
}

json::array RecordsArray(const TruthLog& truth, const std::string& request_id) {
  json::array records;
  if (!request_id.empty()) {
    if (const TruthRecord* record = truth.Find(request_id)) {
      records.push_back(RecordObject(*record));
    }
    return records;
  }
  for (const TruthRecord& record : truth.records()) records.push_back(RecordObject(record));
  return records;
}

}  // namespace

std::string EngineTruthJson(const EngineModel& engine, const std::string& request_id,
                            bool counts_only) {
  json::array records;
  if (!counts_only) records = RecordsArray(engine.truth(), request_id);
  return json::serialize(json::object{{"incarnation", engine.incarnation().value()},
                                      {"running", engine.running()},
                                      {"draining", engine.draining()},
                                      {"counts", CountsObject(engine.counts())},
                                      {"records", std::move(records)}});
}

std::string PlainTruthJson(const PlainServerModel& server) {
  json::array executions;
  for (const auto& [key, record] : server.executions()) {
    executions.push_back(
        {{"method", key.method}, {"path", key.path}, {"key", key.key}, {"count", record.count}});
  }
  return json::serialize(json::object{{"executions", std::move(executions)},
                                      {"refused", server.refused()},
                                      {"arrived_while_draining", server.arrived_while_draining()}});
}

std::string StoreTruthJson(const WeightStoreModel& store) {
  return json::serialize(json::object{{"fetches", store.fetches()},
                                      {"refused", store.refused()},
                                      {"bytes_served", store.bytes_served()},
                                      {"peak_waiting", store.peak_waiting()}});
}

}  // namespace millstair
