/// An engine model in virtual time, and observers that record its callbacks.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "common/virtual_environment.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/generated_text.h"

namespace millstair::testing {

/// Records the callbacks of one generation.
struct RecordingObserver : GenerateObserver {
  explicit RecordingObserver(VirtualScheduler& scheduler) : scheduler(scheduler) {}
  void OnChunk(const GenerateChunk& chunk) override {
    chunks.push_back(chunk);
    times.push_back(scheduler.Now());
    tokens.insert(tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
    finished = finished || chunk.finished;
  }
  void OnFailed(CallFailure kind, bool is_leaving, const std::string& why) override {
    ++failures;
    failure = kind;
    leaving = is_leaving;
    reason = why;
  }
  bool ended() const { return finished || failures > 0; }

  VirtualScheduler& scheduler;
  std::vector<GenerateChunk> chunks;
  std::vector<Duration> times;
  std::vector<std::string> tokens;
  bool finished = false;
  int failures = 0;
  CallFailure failure = CallFailure::kUnknown;
  bool leaving = false;
  std::string reason;
};

/// Exact steps, no lag, one model "m" at version 1.
inline EngineModelOptions ExactOptions() {
  EngineModelOptions options;
  options.step_time = {std::chrono::milliseconds(10), std::chrono::milliseconds(1),
                       std::chrono::microseconds(100)};
  options.steps_per_tick = 1;
  options.chunk_tokens = 1;
  options.report_lag = Duration(0);
  options.cache_event_delay = Duration(0);
  options.initial_weights = {ModelName("m"), WeightVersion(1), WeightDigest("d1")};
  return options;
}

/// A prompt of `words` words, the first being `name`.
inline std::string PromptOf(const std::string& name, uint32_t words) {
  std::string prompt = name;
  for (uint32_t i = 1; i < words; ++i) prompt += " w" + std::to_string(i);
  return prompt;
}

/// A prompt of `words` words whose generation has exactly `length` tokens out of `max_tokens`.
inline std::string PromptOfLength(uint32_t words, uint32_t max_tokens, uint32_t length) {
  for (int i = 0;; ++i) {
    std::string prompt = PromptOf("p" + std::to_string(i), words);
    if (GenerationLength(prompt, max_tokens) == length) return prompt;
  }
}

/// Tokens [from, to) that `version` generates for the prompt.
inline std::vector<std::string> Expected(const std::string& prompt, uint32_t from, uint32_t to,
                                         uint64_t version) {
  std::vector<std::string> tokens;
  for (uint32_t i = from; i < to; ++i) {
    tokens.push_back(TokenText(prompt, i, WeightVersion(version)));
  }
  return tokens;
}

/// An engine with its scheduler and observers.
struct EngineFixture {
  explicit EngineFixture(EngineModelOptions options = ExactOptions(), EngineModelLinks links = {})
      : scheduler(7), environment(scheduler, 11), engine(environment, options, links) {}

  RecordingObserver& Observer() {
    observers.push_back(std::make_unique<RecordingObserver>(scheduler));
    return *observers.back();
  }

  static GenerateRequest Request(const std::string& id, const std::string& prompt,
                                 uint32_t max_tokens) {
    GenerateRequest request;
    request.request_id = id;
    request.model = ModelName("m");
    request.prompt = prompt;
    request.max_tokens = max_tokens;
    return request;
  }

  static EngineOrder Order(OrderKind kind, uint64_t fence, uint64_t version) {
    EngineOrder order;
    order.kind = kind;
    order.fence = Revision(fence);
    order.model = ModelName("m");
    order.version = WeightVersion(version);
    order.digest = WeightDigest("d" + std::to_string(version));
    order.location = "m/" + std::to_string(version);
    return order;
  }

  /// Applies an order and waits for its status.
  absl::Status Apply(const EngineOrder& order) {
    auto answer = std::make_shared<std::optional<absl::Status>>();
    engine.ApplyOrder(order, [answer](absl::Status status) { *answer = std::move(status); });
    scheduler.RunUntilTrue([&] { return answer->has_value(); }, std::chrono::minutes(1));
    return answer->value_or(absl::DeadlineExceededError("no answer"));
  }

  bool RunUntilEnded(const RecordingObserver& observer) {
    return scheduler.RunUntilTrue([&] { return observer.ended(); }, std::chrono::minutes(10));
  }

  VirtualScheduler scheduler;
  VirtualEnvironment environment;
  EngineModel engine;
  std::vector<std::unique_ptr<RecordingObserver>> observers;
};

}  // namespace millstair::testing
