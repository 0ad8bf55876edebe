#include <catch2/catch.hpp>

#include "test/emulator/engine_fixture.h"

namespace millstair::testing {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a version is staged, activated and then generates") {
  EngineFixture fixture;
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2)).ok());
  CHECK(fixture.engine.CurrentReport().staged_versions == std::vector{WeightVersion(2)});
  CHECK(fixture.engine.CurrentReport().active_version == WeightVersion(1));
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kActivate, 6, 2)).ok());
  const EngineReport report = fixture.engine.CurrentReport();
  CHECK(report.active_version == WeightVersion(2));
  CHECK(report.active_digest == WeightDigest("d2"));
  CHECK(report.staged_versions.empty());
  CHECK(report.last_fence == Revision(6));
  CHECK(report.shards == ShardState::kConsistent);
}

TEST_CASE("a smaller fence is refused, an equal one is not") {
  EngineFixture fixture;
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2)).ok());
  CHECK(absl::IsFailedPrecondition(fixture.Apply(fixture.Order(OrderKind::kActivate, 4, 2))));
  CHECK(fixture.engine.CurrentReport().active_version == WeightVersion(1));
  CHECK(fixture.engine.counts().orders_refused_by_fence == 1);
  CHECK(fixture.Apply(fixture.Order(OrderKind::kActivate, 5, 2)).ok());
}

TEST_CASE("a version that is not staged can't be activated") {
  EngineFixture fixture;
  CHECK(absl::IsFailedPrecondition(fixture.Apply(fixture.Order(OrderKind::kActivate, 5, 2))));
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 6, 2)).ok());
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kUnload, 7, 2)).ok());
  CHECK(absl::IsFailedPrecondition(fixture.Apply(fixture.Order(OrderKind::kActivate, 8, 2))));
}

TEST_CASE("fetched bytes of another digest are not staged") {
  EngineModelLinks links;
  links.fetch_weights = [](const std::string&, auto done) { done(WeightDigest("other")); };
  EngineFixture fixture(ExactOptions(), links);
  CHECK(absl::IsDataLoss(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2))));
  CHECK(fixture.engine.CurrentReport().staged_versions.empty());
}

TEST_CASE("orders for the same version share one fetch") {
  int fetches = 0;
  std::function<void(absl::StatusOr<WeightDigest>)> finish;
  EngineModelLinks links;
  links.fetch_weights = [&](const std::string&, auto done) {
    ++fetches;
    finish = done;
  };
  EngineFixture fixture(ExactOptions(), links);
  int answers = 0;
  const auto count = [&](absl::Status status) { answers += status.ok() ? 1 : 100; };
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kStage, 5, 2), count);
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kStage, 5, 2), count);
  CHECK(fetches == 1);
  finish(WeightDigest("d2"));
  CHECK(answers == 2);
}

TEST_CASE("the oldest staged version is dropped for a new one") {
  EngineFixture fixture;
  for (const uint64_t version : {2, 3, 4}) {
    REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, version, version)).ok());
  }
  CHECK(fixture.engine.CurrentReport().staged_versions ==
        std::vector{WeightVersion(3), WeightVersion(4)});
}

TEST_CASE("a swap during a generation splits its spans at the right token") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(20, 400, 60);
  RecordingObserver& observer = fixture.Observer();
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2)).ok());
  fixture.engine.Generate(fixture.Request("r", prompt, 400), observer);
  fixture.scheduler.RunFor(milliseconds(300));
  const auto before = static_cast<uint32_t>(observer.tokens.size());
  REQUIRE(before > 10);
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kActivate, 6, 2)).ok());
  REQUIRE(fixture.RunUntilEnded(observer));
  const TruthRecord& record = *fixture.engine.truth().Find("r");
  REQUIRE(record.spans.size() == 2);
  const VersionSpan old_span = record.spans[0].span;
  const VersionSpan new_span = record.spans[1].span;
  CHECK(old_span.version == WeightVersion(1));
  CHECK(new_span.version == WeightVersion(2));
  CHECK(new_span.digest == WeightDigest("d2"));
  CHECK(old_span.token_count + new_span.token_count == 60);
  CHECK(new_span.first_token == old_span.token_count);
  for (const GenerateChunk& chunk : observer.chunks) {
    const uint64_t version = chunk.first_token < old_span.token_count ? 1 : 2;
    CHECK(chunk.version == WeightVersion(version));
    CHECK(chunk.tokens ==
          Expected(prompt, chunk.first_token, chunk.first_token + chunk.tokens.size(), version));
  }
  CHECK(record.finished);
  CHECK(record.executions == 1);
}

TEST_CASE("no step runs during a swap, and the cache of the old weights is discarded") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(64, 50, 10);
  RecordingObserver& first = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", prompt, 50), first);
  REQUIRE(fixture.RunUntilEnded(first));
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2)).ok());
  const Duration begin = fixture.scheduler.Now();
  RecordingObserver& second = fixture.Observer();
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kActivate, 6, 2), [](absl::Status) {});
  fixture.engine.Generate(fixture.Request("b", prompt, 50), second);
  REQUIRE(fixture.RunUntilEnded(second));
  CHECK(second.times.front() ==
        begin + milliseconds(300) + milliseconds(10) + 64 * std::chrono::microseconds(100));
  CHECK(second.tokens == Expected(prompt, 0, 10, 2));
  CHECK(fixture.engine.counts().prefix_blocks_reused == 0);
}

TEST_CASE("a swap that fails partway leaves mixed shards, and each chunk carries a mixed digest") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(20, 50, 10);
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2)).ok());
  fixture.engine.FailNextActivation();
  CHECK(absl::IsAborted(fixture.Apply(fixture.Order(OrderKind::kActivate, 6, 2))));
  CHECK(fixture.engine.CurrentReport().shards == ShardState::kMixed);
  CHECK(IsMixedDigest(fixture.engine.CurrentReport().active_digest));
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("r", prompt, 50), observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(IsMixedDigest(observer.chunks.front().digest));
  CHECK(observer.tokens != Expected(prompt, 0, 10, 1));
  CHECK(observer.tokens != Expected(prompt, 0, 10, 2));
  CHECK(fixture.engine.truth().Find("r")->spans.front().mixed);
  CHECK(fixture.engine.counts().mixed_tokens == 10);
  CHECK_FALSE(fixture.engine.ExportKv(PrefixBlocks(prompt)).ok());
  // A second attempt makes the shards consistent.
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kActivate, 6, 2)).ok());
  CHECK(fixture.engine.CurrentReport().shards == ShardState::kConsistent);
  CHECK(fixture.engine.CurrentReport().active_digest == WeightDigest("d2"));
}

TEST_CASE("a crash fails streams and orders, and a restart serves the initial weights") {
  EngineFixture fixture;
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kStage, 5, 2)).ok());
  REQUIRE(fixture.Apply(fixture.Order(OrderKind::kActivate, 5, 2)).ok());
  RecordingObserver& begun = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", PromptOfLength(20, 400, 60), 400), begun);
  fixture.scheduler.RunFor(milliseconds(100));
  RecordingObserver& waiting = fixture.Observer();
  fixture.engine.Generate(fixture.Request("b", PromptOf("b", 20), 400), waiting);
  absl::Status order;
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kStage, 6, 3),
                            [&](absl::Status status) { order = std::move(status); });
  fixture.engine.Crash();
  CHECK(begun.failure == CallFailure::kCut);
  CHECK(waiting.failure == CallFailure::kUnknown);
  CHECK(absl::IsUnavailable(order));
  CHECK(absl::IsUnavailable(fixture.engine.Report().status()));
  RecordingObserver& dead = fixture.Observer();
  fixture.engine.Generate(fixture.Request("c", "x", 5), dead);
  REQUIRE(fixture.RunUntilEnded(dead));
  CHECK(dead.failure == CallFailure::kNotSent);

  fixture.engine.Restart();
  const EngineReport report = fixture.engine.CurrentReport();
  CHECK(report.incarnation == Incarnation(2));
  CHECK(report.active_version == WeightVersion(1));
  CHECK(report.last_fence == Revision(0));
  CHECK(report.free_kv_blocks == report.total_kv_blocks);
  RecordingObserver& after = fixture.Observer();
  fixture.engine.Generate(fixture.Request("d", PromptOf("d", 5), 20), after);
  REQUIRE(fixture.RunUntilEnded(after));
  CHECK(after.finished);
  CHECK(begun.failures == 1);
}

TEST_CASE("a draining engine refuses new generations and completes those in progress") {
  EngineFixture fixture;
  RecordingObserver& begun = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", PromptOfLength(20, 400, 60), 400), begun);
  fixture.scheduler.RunFor(milliseconds(50));
  fixture.engine.Drain();
  RecordingObserver& late = fixture.Observer();
  fixture.engine.Generate(fixture.Request("b", "x", 5), late);
  REQUIRE(fixture.RunUntilEnded(late));
  CHECK(late.failure == CallFailure::kRefused);
  CHECK(late.leaving);
  REQUIRE(fixture.RunUntilEnded(begun));
  CHECK(begun.finished);
  CHECK(fixture.engine.Idle());
  CHECK(fixture.engine.counts().accepted_while_draining == 0);
}

TEST_CASE("orders change adapters and role") {
  EngineFixture fixture;
  GenerateRequest request = fixture.Request("a", "x y", 5);
  request.adapter = "tone";
  RecordingObserver& before = fixture.Observer();
  fixture.engine.Generate(request, before);
  REQUIRE(fixture.RunUntilEnded(before));
  CHECK(before.failure == CallFailure::kRefused);
  EngineOrder order = fixture.Order(OrderKind::kLoadAdapter, 5, 0);
  order.adapter = "tone";
  REQUIRE(fixture.Apply(order).ok());
  RecordingObserver& after = fixture.Observer();
  fixture.engine.Generate(request, after);
  REQUIRE(fixture.RunUntilEnded(after));
  CHECK(after.finished);
  order = fixture.Order(OrderKind::kChangeRole, 6, 0);
  order.role = "prefill";
  REQUIRE(fixture.Apply(order).ok());
  CHECK(fixture.engine.CurrentReport().role == "prefill");
}

TEST_CASE("reports lag behind the state by the configured time") {
  EngineModelOptions options = ExactOptions();
  options.report_lag = milliseconds(250);
  EngineFixture fixture(options);
  fixture.scheduler.RunFor(milliseconds(1000));
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", PromptOfLength(20, 400, 60), 400), observer);
  fixture.scheduler.RunFor(milliseconds(249));
  CHECK(fixture.engine.CurrentReport().running_sequences == 1);
  CHECK(fixture.engine.Report()->running_sequences == 0);
  CHECK(fixture.engine.Report()->age == milliseconds(250));
  fixture.scheduler.RunFor(milliseconds(2));
  CHECK(fixture.engine.Report()->running_sequences == 1);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(fixture.engine.Report()->running_sequences == 1);
  fixture.scheduler.RunFor(milliseconds(250));
  CHECK(fixture.engine.Report()->running_sequences == 0);
  // Smoothed: decode steps of 11 ms after a first one of 12 ms.
  CHECK(fixture.engine.Report()->step_time >= milliseconds(11));
  CHECK(fixture.engine.Report()->step_time < std::chrono::microseconds(11050));
}

}  // namespace
}  // namespace millstair::testing
