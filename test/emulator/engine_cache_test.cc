#include <catch2/catch.hpp>
#include <set>

#include "emulator/model/kv_cache.h"
#include "test/emulator/engine_fixture.h"

namespace millstair::testing {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a prompt seen before is not processed again") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(160, 50, 10);
  RecordingObserver& first = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", prompt, 50), first);
  REQUIRE(fixture.RunUntilEnded(first));
  const uint64_t cold = fixture.engine.counts().prefill_tokens;
  CHECK(cold == 160);
  RecordingObserver& second = fixture.Observer();
  const std::string longer = prompt + " and more words";
  fixture.engine.Generate(fixture.Request("b", longer, 50), second);
  REQUIRE(fixture.RunUntilEnded(second));
  CHECK(fixture.engine.counts().prefill_tokens == cold + 3);
  CHECK(fixture.engine.counts().prefix_blocks_reused == 10);
}

TEST_CASE("the least recently used blocks are evicted first") {
  std::vector<CacheEvent> events;
  KvCache cache(3, [&](bool stored, BlockHash hash) { events.push_back({0, stored, hash}); });
  for (const BlockHash hash : {10, 20, 30}) {
    cache.Release(cache.Publish(*cache.Allocate(), hash));
  }
  cache.Release(*cache.Share(10));
  const std::optional<BlockIndex> taken = cache.Allocate();
  REQUIRE(taken);
  CHECK(cache.Contains(10));
  CHECK_FALSE(cache.Contains(20));
  CHECK(cache.Contains(30));
  CHECK(events.back().block == 20);
  CHECK_FALSE(events.back().stored);
  REQUIRE(cache.Allocate());
  CHECK_FALSE(cache.Contains(30));
  REQUIRE(cache.Allocate());
  CHECK_FALSE(cache.Allocate());
  CHECK(cache.evicted() == 3);
}

TEST_CASE("held blocks are shared and never evicted") {
  KvCache cache(2, [](bool, BlockHash) {});
  const BlockIndex held = cache.Publish(*cache.Allocate(), 10);
  CHECK(cache.Publish(*cache.Allocate(), 10) == held);
  CHECK(cache.available() == 1);
  cache.Release(held);
  REQUIRE(cache.Allocate());
  CHECK_FALSE(cache.Allocate());
  CHECK(cache.Contains(10));
  cache.Release(held);
  CHECK(cache.available() == 1);
}

TEST_CASE("cache events are numbered and readable after their delay") {
  EngineModelOptions options = ExactOptions();
  options.cache_event_delay = milliseconds(500);
  EngineFixture fixture(options);
  const std::string prompt = PromptOfLength(48, 50, 10);
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", prompt, 50), observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(fixture.engine.CacheEventsAfter(0, false)->events.empty());
  CHECK(fixture.engine.CacheEventsAfter(0, true)->events.size() == 3);
  fixture.scheduler.RunFor(milliseconds(500));
  const CacheEvents events = *fixture.engine.CacheEventsAfter(0, false);
  REQUIRE(events.events.size() == 3);
  CHECK_FALSE(events.gap);
  CHECK(events.newest == 3);
  const std::vector<BlockHash> blocks = PrefixBlocks(prompt);
  for (size_t i = 0; i < 3; ++i) {
    CHECK(events.events[i].sequence == i + 1);
    CHECK(events.events[i].stored);
    CHECK(events.events[i].block == blocks[i]);
  }
  CHECK(fixture.engine.CacheEventsAfter(2, false)->events.size() == 1);
}

TEST_CASE("lost and dropped events show as gaps, and a resync returns the blocks held") {
  const bool by_loss = GENERATE(true, false);
  EngineModelOptions options = ExactOptions();
  if (by_loss) options.cache_event_loss = 0.5;
  if (!by_loss) options.cache_event_retention = 3;
  EngineFixture fixture(options);
  const std::string prompt = PromptOfLength(320, 50, 10);
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", prompt, 50), observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  const CacheEvents events = *fixture.engine.CacheEventsAfter(0, false);
  CHECK(events.gap);
  CHECK(events.events.size() < 20);
  const CacheEvents held = *fixture.engine.CacheEventsAfter(0, true);
  std::set<BlockHash> blocks;
  for (const CacheEvent& event : held.events) blocks.insert(event.block);
  const std::vector<BlockHash> expected = PrefixBlocks(prompt);
  CHECK(blocks == std::set<BlockHash>(expected.begin(), expected.end()));
  CHECK(held.newest == 20);
  CHECK_FALSE(fixture.engine.CacheEventsAfter(held.newest, false)->gap);
}

TEST_CASE("imported blocks save an engine the prefill") {
  EngineFixture source;
  const std::string prompt = PromptOfLength(160, 200, 40);
  RecordingObserver& first = source.Observer();
  const GenerationId id = source.engine.Generate(source.Request("a", prompt, 200), first);
  REQUIRE(source.scheduler.RunUntilTrue([&] { return first.tokens.size() == 20; },
                                        std::chrono::minutes(1)));
  source.engine.Cancel(id);

  EngineModelLinks links;
  std::string asked;
  links.fetch_kv = [&](const std::string& address, const std::vector<BlockHash>& blocks,
                       std::function<void(absl::StatusOr<KvExport>)> done) {
    asked = address;
    done(source.engine.ExportKv(blocks));
  };
  EngineFixture target(ExactOptions(), links);
  GenerateRequest request = target.Request("b", prompt, 200);
  request.resume_tokens = Expected(prompt, 0, 20, 1);
  request.kv_source = "10.0.0.1:80";
  RecordingObserver& second = target.Observer();
  target.engine.Generate(request, second);
  REQUIRE(target.RunUntilEnded(second));
  CHECK(asked == "10.0.0.1:80");
  CHECK(second.tokens == Expected(prompt, 20, 40, 1));
  CHECK(target.engine.counts().kv_blocks_imported == 11);
  // 180 tokens are known, 176 of which were imported as blocks.
  CHECK(target.engine.counts().prefill_tokens == 4);
}

TEST_CASE(
    "an engine that does not reply to a block request delays a resume only until the timeout") {
  std::function<void(absl::StatusOr<KvExport>)> answer;
  EngineModelLinks links;
  links.fetch_kv = [&](const std::string&, const std::vector<BlockHash>&, auto done) {
    answer = std::move(done);
  };
  EngineFixture fixture(ExactOptions(), links);
  const std::string prompt = PromptOfLength(32, 50, 10);
  GenerateRequest request = fixture.Request("a", prompt, 50);
  request.kv_source = "10.0.0.1:80";
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(request, observer);
  fixture.scheduler.RunFor(milliseconds(999));
  CHECK(fixture.engine.counts().steps == 0);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(observer.tokens == Expected(prompt, 0, 10, 1));
  CHECK(fixture.engine.counts().prefill_tokens == 32);
  // A late reply has no effect.
  answer(KvExport{Incarnation(9), ModelName("m"), WeightVersion(1), PrefixBlocks(prompt)});
  fixture.scheduler.RunFor(std::chrono::seconds(5));
  CHECK(observer.tokens.size() == 10);
  CHECK(fixture.engine.Idle());
}

TEST_CASE("blocks of other weights are not imported") {
  EngineFixture fixture;
  KvExport exported{Incarnation(1), ModelName("m"), WeightVersion(2), {1, 2, 3}};
  CHECK(absl::IsFailedPrecondition(fixture.engine.ImportKv(exported)));
  CHECK(fixture.engine.counts().kv_blocks_imported == 0);
}

}  // namespace
}  // namespace millstair::testing
