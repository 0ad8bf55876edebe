#include <catch2/catch.hpp>

#include "test/emulator/engine_fixture.h"

namespace millstair::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("one sequence takes its prefill and then one step per token") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(20, 50, 10);
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("r", prompt, 50), observer);
  CHECK(observer.chunks.empty());
  REQUIRE(fixture.RunUntilEnded(observer));
  REQUIRE(observer.finished);
  CHECK(observer.tokens == Expected(prompt, 0, 10, 1));
  // Prefill: 10 ms + 20 * 100 us, which includes the first token; then 9 steps of 11 ms.
  CHECK(observer.times.front() == milliseconds(12));
  CHECK(observer.times.back() == milliseconds(12 + 9 * 11));
  CHECK(fixture.engine.counts().steps == 10);
  CHECK(fixture.engine.counts().prefill_tokens == 20);
  CHECK(fixture.engine.Idle());
}

TEST_CASE("sequences share steps, and the step time grows with each sequence") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(4, 50, 10);
  const std::string other = PromptOfLength(5, 50, 10);
  RecordingObserver& a = fixture.Observer();
  RecordingObserver& b = fixture.Observer();
  fixture.engine.Generate(fixture.Request("a", prompt, 50), a);
  fixture.engine.Generate(fixture.Request("b", other, 50), b);
  REQUIRE(fixture.RunUntilEnded(a));
  REQUIRE(fixture.RunUntilEnded(b));
  // Both prefill in one step (9 tokens), then 9 steps of 10 ms + 2 * 1 ms.
  CHECK(a.times.back() == microseconds(10900) + milliseconds(9 * 12));
  CHECK(b.times.back() == a.times.back());
  CHECK(fixture.engine.counts().steps == 10);
}

TEST_CASE("prefill of a long prompt is spread over steps") {
  EngineModelOptions options = ExactOptions();
  options.max_prefill_tokens_per_step = 64;
  EngineFixture fixture(options);
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("r", PromptOfLength(150, 50, 10), 50), observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  // 64 + 64 + 22 tokens in three steps.
  CHECK(observer.times.front() == milliseconds(30) + microseconds(15000));
}

TEST_CASE("longer ticks change neither the tokens nor the end time of a single sequence") {
  const std::string prompt = PromptOfLength(20, 200, 37);
  std::vector<Duration> ends;
  for (const uint32_t steps : {1U, 4U, 8U}) {
    EngineModelOptions options = ExactOptions();
    options.steps_per_tick = steps;
    options.chunk_tokens = 8;
    EngineFixture fixture(options);
    RecordingObserver& observer = fixture.Observer();
    fixture.engine.Generate(fixture.Request("r", prompt, 200), observer);
    REQUIRE(fixture.RunUntilEnded(observer));
    CHECK(observer.tokens == Expected(prompt, 0, 37, 1));
    ends.push_back(observer.times.back());
    if (steps > 1) CHECK(fixture.scheduler.events_run() < 25);
  }
  CHECK(ends[1] == ends[0]);
  CHECK(ends[2] == ends[0]);
}

TEST_CASE("an idle engine schedules nothing") {
  EngineFixture fixture;
  fixture.scheduler.RunFor(std::chrono::hours(1));
  CHECK(fixture.scheduler.events_run() == 0);
  CHECK(fixture.scheduler.pending() == 0);
}

TEST_CASE("sequences beyond the batch size wait") {
  EngineModelOptions options = ExactOptions();
  options.max_sequences = 2;
  options.max_waiting = 2;
  EngineFixture fixture(options);
  std::vector<RecordingObserver*> observers;
  for (int i = 0; i < 5; ++i) {
    observers.push_back(&fixture.Observer());
    fixture.engine.Generate(
        fixture.Request("r" + std::to_string(i), PromptOf("q" + std::to_string(i), 8), 40),
        *observers.back());
    if (i == 1) fixture.scheduler.RunFor(milliseconds(1));
  }
  fixture.scheduler.RunFor(milliseconds(5));
  CHECK(fixture.engine.CurrentReport().running_sequences == 2);
  CHECK(fixture.engine.CurrentReport().waiting_sequences == 2);
  CHECK(observers[4]->failure == CallFailure::kRefused);
  CHECK_FALSE(observers[4]->leaving);
  for (int i = 0; i < 4; ++i) REQUIRE(fixture.RunUntilEnded(*observers[i]));
  CHECK(observers[3]->finished);
  CHECK(fixture.engine.counts().refused == 1);
}

TEST_CASE("an urgent request preempts a rollout, which later resumes at the same token") {
  EngineModelOptions options = ExactOptions();
  options.max_sequences = 1;
  EngineFixture fixture(options);
  const std::string long_prompt = PromptOfLength(32, 400, 60);
  RecordingObserver& rollout = fixture.Observer();
  GenerateRequest request = fixture.Request("rollout", long_prompt, 400);
  request.priority = RequestPriority::kRollout;
  fixture.engine.Generate(request, rollout);
  fixture.scheduler.RunFor(milliseconds(200));
  const size_t before = rollout.tokens.size();
  REQUIRE(before > 5);
  RecordingObserver& live = fixture.Observer();
  fixture.engine.Generate(fixture.Request("live", PromptOfLength(5, 20, 5), 20), live);
  REQUIRE(fixture.RunUntilEnded(live));
  CHECK(live.finished);
  CHECK_FALSE(rollout.finished);
  CHECK(rollout.tokens.size() <= before + 1);
  CHECK(fixture.engine.counts().preempted == 1);
  REQUIRE(fixture.RunUntilEnded(rollout));
  CHECK(rollout.tokens == Expected(long_prompt, 0, 60, 1));
}

TEST_CASE("when memory runs out, the least urgent and latest sequence is preempted") {
  EngineModelOptions options = ExactOptions();
  options.total_kv_blocks = 8;
  EngineFixture fixture(options);
  const std::string first_prompt = PromptOfLength(33, 200, 50);
  const std::string second_prompt = PromptOfLength(34, 200, 50);
  RecordingObserver& first = fixture.Observer();
  RecordingObserver& second = fixture.Observer();
  fixture.engine.Generate(fixture.Request("first", first_prompt, 90), first);
  CHECK(first.failures == 0);
  fixture.engine.Generate(fixture.Request("second", second_prompt, 90), second);
  REQUIRE(fixture.RunUntilEnded(first));
  REQUIRE(fixture.RunUntilEnded(second));
  CHECK(first.tokens == Expected(first_prompt, 0, GenerationLength(first_prompt, 90), 1));
  CHECK(second.tokens == Expected(second_prompt, 0, GenerationLength(second_prompt, 90), 1));
  CHECK(fixture.engine.CurrentReport().free_kv_blocks == 8);
}

TEST_CASE("sequences preempted under memory pressure still complete") {
  EngineModelOptions options = ExactOptions();
  options.total_kv_blocks = 24;
  EngineFixture fixture(options);
  std::vector<RecordingObserver*> observers;
  std::vector<std::string> prompts;
  for (int i = 0; i < 6; ++i) {
    prompts.push_back(PromptOf("pressure" + std::to_string(i), 40));
    observers.push_back(&fixture.Observer());
    GenerateRequest request = fixture.Request("r" + std::to_string(i), prompts.back(), 300);
    request.priority = i % 2 == 0 ? RequestPriority::kRollout : RequestPriority::kLive;
    fixture.engine.Generate(request, *observers.back());
  }
  for (size_t i = 0; i < observers.size(); ++i) {
    REQUIRE(fixture.RunUntilEnded(*observers[i]));
    CHECK(observers[i]->tokens == Expected(prompts[i], 0, GenerationLength(prompts[i], 300), 1));
  }
  CHECK(fixture.engine.counts().preempted > 0);
  CHECK(fixture.engine.CurrentReport().free_kv_blocks == 24);
}

TEST_CASE("a request that never fits is refused") {
  EngineModelOptions options = ExactOptions();
  options.total_kv_blocks = 4;
  EngineFixture fixture(options);
  RecordingObserver& observer = fixture.Observer();
  fixture.engine.Generate(fixture.Request("r", PromptOf("x", 30), 40), observer);
  REQUIRE(fixture.RunUntilEnded(observer));
  CHECK(observer.failure == CallFailure::kRefused);
}

TEST_CASE("a cancelled generation gets no further callbacks") {
  EngineFixture fixture;
  RecordingObserver& observer = fixture.Observer();
  const GenerationId id =
      fixture.engine.Generate(fixture.Request("r", PromptOfLength(8, 400, 60), 400), observer);
  fixture.scheduler.RunFor(milliseconds(100));
  const size_t heard = observer.chunks.size();
  REQUIRE(heard > 0);
  fixture.engine.Cancel(id);
  fixture.scheduler.RunFor(std::chrono::seconds(10));
  CHECK(observer.chunks.size() == heard);
  CHECK(observer.failures == 0);
  CHECK(fixture.engine.Idle());
  CHECK(fixture.engine.truth().Find("r")->cancelled);
  CHECK(fixture.engine.CurrentReport().free_kv_blocks ==
        fixture.engine.CurrentReport().total_kv_blocks);
}

TEST_CASE("a resumed generation gives the same tokens as an uninterrupted one") {
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(8, 200, 40);
  for (const uint32_t at : {1U, 15U, 16U, 39U, 40U}) {
    GenerateRequest request = fixture.Request("r" + std::to_string(at), prompt, 200);
    request.resume_tokens = Expected(prompt, 0, at, 1);
    RecordingObserver& observer = fixture.Observer();
    fixture.engine.Generate(request, observer);
    REQUIRE(fixture.RunUntilEnded(observer));
    REQUIRE(observer.finished);
    CHECK(observer.tokens == Expected(prompt, at, 40, 1));
    CHECK(observer.chunks.front().first_token == at);
  }
}

TEST_CASE("a generation started in a callback joins the next step") {
  struct Chained : RecordingObserver {
    using RecordingObserver::RecordingObserver;
    void OnChunk(const GenerateChunk& chunk) override {
      RecordingObserver::OnChunk(chunk);
      if (finished && next != nullptr) engine->Generate(request, *next);
    }
    EngineModel* engine = nullptr;
    GenerateRequest request;
    RecordingObserver* next = nullptr;
  };
  EngineFixture fixture;
  const std::string prompt = PromptOfLength(8, 200, 40);
  Chained first(fixture.scheduler);
  RecordingObserver& second = fixture.Observer();
  first.engine = &fixture.engine;
  first.request = fixture.Request("b", prompt, 200);
  first.next = &second;
  GenerateRequest ended = fixture.Request("a", prompt, 200);
  ended.resume_tokens = Expected(prompt, 0, 40, 1);
  fixture.engine.Generate(ended, first);
  REQUIRE(fixture.RunUntilEnded(second));
  CHECK(second.tokens == Expected(prompt, 0, 40, 1));
}

}  // namespace
}  // namespace millstair::testing
