#include "engine/engine_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "common/random.h"

namespace millstair {
namespace {

GenerateRequest SampleRequest() {
  GenerateRequest request;
  request.request_id = "r \"1\"\n";
  request.model = ModelName("caption");
  request.adapter = "tone";
  request.prompt = "Weka picha ya harusi \u00e9";
  request.max_tokens = UINT32_MAX;
  request.priority = RequestPriority::kUrgentLive;
  request.resume_tokens = {"a", "", "b"};
  request.kv_source = "127.0.0.9:80";
  return request;
}

TEST_CASE("a generate request round-trips") {
  const GenerateRequest sent = SampleRequest();
  const GenerateRequest read = *DecodeGenerateRequest(EncodeGenerateRequest(sent));
  CHECK(read.request_id == sent.request_id);
  CHECK(read.model == sent.model);
  CHECK(read.adapter == sent.adapter);
  CHECK(read.prompt == sent.prompt);
  CHECK(read.max_tokens == sent.max_tokens);
  CHECK(read.priority == sent.priority);
  CHECK(read.resume_tokens == sent.resume_tokens);
  CHECK(read.kv_source == sent.kv_source);
}

TEST_CASE("a chunk and an order round-trip") {
  const GenerateChunk chunk{
      {"x", "y"}, 7, WeightVersion(UINT64_MAX), WeightDigest("d"), Incarnation(1ULL << 63), true};
  const GenerateChunk read = *DecodeGenerateChunk(EncodeGenerateChunk(chunk));
  CHECK(read.tokens == chunk.tokens);
  CHECK(read.first_token == 7);
  CHECK(read.version == chunk.version);
  CHECK(read.digest == chunk.digest);
  CHECK(read.engine_incarnation == chunk.engine_incarnation);
  CHECK(read.finished);
  CHECK(EncodeGenerateChunk(chunk).find('\n') == std::string::npos);

  EngineOrder order;
  order.kind = OrderKind::kChangeRole;
  order.fence = Revision(99);
  order.model = ModelName("m");
  order.version = WeightVersion(3);
  order.digest = WeightDigest("abc");
  order.location = "m/3";
  order.adapter = "a";
  order.role = "prefill";
  const EngineOrder ordered = *DecodeEngineOrder(EncodeEngineOrder(order));
  CHECK(ordered.kind == order.kind);
  CHECK(ordered.fence == order.fence);
  CHECK(ordered.model == order.model);
  CHECK(ordered.version == order.version);
  CHECK(ordered.digest == order.digest);
  CHECK(ordered.location == order.location);
  CHECK(ordered.adapter == order.adapter);
  CHECK(ordered.role == order.role);
}

TEST_CASE("a report and cache events round-trip") {
  EngineReport report;
  report.incarnation = Incarnation(4);
  report.model = ModelName("m");
  report.active_version = WeightVersion(8);
  report.active_digest = WeightDigest("d8");
  report.staged_versions = {WeightVersion(9), WeightVersion(10)};
  report.shards = ShardState::kMixed;
  report.last_fence = Revision(77);
  report.draining = true;
  report.role = "decode";
  report.running_sequences = 1;
  report.waiting_sequences = 2;
  report.max_sequences = 3;
  report.waiting_prefill_tokens = 4;
  report.free_kv_blocks = 5;
  report.total_kv_blocks = 6;
  report.step_time = Duration(7);
  report.age = Duration(8);
  report.newest_cache_event = 9;
  const std::string json = EncodeEngineReport(report);
  const EngineReport read = *DecodeEngineReport(json);
  CHECK(EncodeEngineReport(read) == json);
  CHECK(read.staged_versions == report.staged_versions);
  CHECK(read.shards == ShardState::kMixed);
  CHECK(read.step_time == Duration(7));
  CHECK(read.newest_cache_event == 9);

  const CacheEvents events{Incarnation(2), {{5, true, UINT64_MAX}, {7, false, 1}}, true, 7};
  const CacheEvents got = *DecodeCacheEvents(EncodeCacheEvents(events));
  CHECK(got.incarnation == Incarnation(2));
  CHECK(got.gap);
  CHECK(got.newest == 7);
  REQUIRE(got.events.size() == 2);
  CHECK(got.events[0].block == UINT64_MAX);
  CHECK(got.events[1].sequence == 7);
  CHECK_FALSE(got.events[1].stored);
}

TEST_CASE("block lists round-trip") {
  rc::prop("any hashes", [](const std::vector<uint64_t>& blocks) {
    RC_ASSERT(*DecodeBlockList(EncodeBlockList(blocks)) == blocks);
  });
}

TEST_CASE("errors name the message and every invalid member") {
  const absl::Status status =
      DecodeGenerateRequest(R"({"request_id":5,"model":"m","prompt":"p","max_tokens":-1,
                                "priority":9})")
          .status();
  CHECK(absl::IsInvalidArgument(status));
  CHECK(status.message() ==
        "generate request: request_id: must be a string; max_tokens: must be an integer from 0 to "
        "4294967295; priority: must be an integer from 0 to 3");
  CHECK(DecodeEngineOrder("[]").status().message() == "engine order: must be an object");
  CHECK(DecodeEngineOrder(R"({"kind":0})").status().message().find("kind: out of range") !=
        std::string::npos);
  CHECK(absl::IsInvalidArgument(DecodeGenerateChunk("{\"tok").status()));
  CHECK(absl::IsInvalidArgument(
      DecodeCacheEvents(R"({"incarnation":1,"events":[[1,true,"zz"]],"gap":false,"newest":1})")
          .status()));
  CHECK(absl::IsInvalidArgument(DecodeBlockList(std::string(100, '[')).status()));
}

/// `json` with some bytes changed, removed or duplicated.
std::string Damage(std::string json, RandomEngine& random) {
  for (uint64_t changes = 1 + DrawBelow(random, 4); changes > 0 && !json.empty(); --changes) {
    const size_t at = DrawBelow(random, json.size());
    switch (DrawBelow(random, 4)) {
      case 0:
        json[at] = static_cast<char>(DrawBelow(random, 256));
        break;
      case 1:
        json.erase(at, 1 + DrawBelow(random, 8));
        break;
      case 2:
        json.insert(at, json.substr(DrawBelow(random, json.size()), 12));
        break;
      default:
        json[at] = "{}[]\",:0-e"[DrawBelow(random, 10)];
    }
  }
  return json;
}

TEST_CASE("damaged messages give an error or a message that can be encoded again") {
  RandomEngine random(5);
  const std::string request = EncodeGenerateRequest(SampleRequest());
  const std::string report = EncodeEngineReport(EngineReport());
  const std::string events = EncodeCacheEvents({Incarnation(2), {{5, true, 9}}, true, 7});
  const std::string order = EncodeEngineOrder(EngineOrder());
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    const auto read_request = DecodeGenerateRequest(Damage(request, random));
    if (read_request.ok()) CHECK(DecodeGenerateRequest(EncodeGenerateRequest(*read_request)).ok());
    const auto read_report = DecodeEngineReport(Damage(report, random));
    if (read_report.ok()) CHECK(DecodeEngineReport(EncodeEngineReport(*read_report)).ok());
    const auto read_events = DecodeCacheEvents(Damage(events, random));
    if (read_events.ok()) CHECK(DecodeCacheEvents(EncodeCacheEvents(*read_events)).ok());
    const auto read_order = DecodeEngineOrder(Damage(order, random));
    if (read_order.ok()) CHECK(DecodeEngineOrder(EncodeEngineOrder(*read_order)).ok());
    rejected += read_request.ok() ? 0 : 1;
  }
  CHECK(rejected > 10000);
}

}  // namespace
}  // namespace millstair
