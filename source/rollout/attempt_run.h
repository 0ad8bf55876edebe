/// Runs one leased attempt on a gateway: places it on an engine, follows its token stream, moves it
/// if the engine fails, then scores and appends the sample.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/alive_flag.h"
#include "common/scoped_timer.h"
#include "rollout/rollout_worker.h"
#include "rollout/sample_scorer.h"
#include "rollout/span_collector.h"
#include "rollout/stream_commands.h"

namespace millstair {

/// Dependencies and counters shared by the attempts of a worker.
struct RolloutContext {
  Environment& environment;
  EngineClient& engines;
  HttpCaller& http;
  EnginePlacement& placement;
  ControlClient& control;
  ConfigurationClient& configuration;
  RolloutWorkerOptions options;
  RolloutCounts counts;
};

enum class AttemptEnd : uint8_t {
  kSettled = 1,   ///< appended, here or elsewhere, or obsolete; nothing left to do
  kReturned = 2,  ///< returned to the leader with its tokens, to be resumed
  kRestart = 3,   ///< returned to the leader without tokens, to be started over
};

/// Lives on the node's serial executor. The destructor cancels outstanding work.
class AttemptRun : private GenerateObserver {
 public:
  /// `ended` is called once, from a timer callback.
  AttemptRun(RolloutContext& context, StreamName stream, Attempt attempt,
             std::function<void(AttemptEnd)> ended);
  ~AttemptRun() override;

  void Start() { StartPlacement(); }
  /// Returns an attempt that is still generating; a finished sample is still scored and appended.
  void Stop();

  const Attempt& attempt() const { return attempt_; }
  const SpanCollector& collected() const { return collected_; }
  /// Engine that still holds the KV cache of the attempt; empty if none.
  const std::string& kv_source() const { return kv_source_; }

 private:
  enum class Phase : uint8_t { kPlacing, kGenerating, kScoring, kAppending, kEnded };

  void OnChunk(const GenerateChunk& chunk) override;
  void OnFailed(CallFailure failure, bool leaving, const std::string& reason) override;

  /// Spec of the stream; null if the stream was deleted.
  const StreamSpec* Spec() const;
  const ModelStatus* Model() const;
  RoutingRequest Request() const;

  void StartPlacement();
  void AttemptPlacement();
  void Generate(const Placement& placement);
  void EndPlacement(PlacementEnd end, CallFailure failure, bool leaving);
  void DiscardAndRestart(const std::string& reason);
  void CheckProgress();
  bool IsEngineLeaving() const;
  Duration RemainingTime() const;
  void MaybeMove(Duration remaining, double min_speedup);
  bool IsTooStale() const;

  void StartScoring();
  void StartAppending(double score);
  void Append();
  void OnAppendReply(const absl::StatusOr<std::string>& answer);
  bool SubmitPublishedVersion(const StreamResult& result);
  Sample MakeSample(double score) const;
  void End(AttemptEnd end);
  /// Runs `step` from a timer, so that it may destroy the object whose callback is running.
  void Defer(std::function<void()> step) { step_timer_.Arm(Duration(0), std::move(step)); }

  RolloutContext& context_;
  StreamName stream_;
  Attempt attempt_;
  std::function<void(AttemptEnd)> ended_;
  Phase phase_ = Phase::kPlacing;
  SpanCollector collected_;
  std::string kv_source_;
  std::set<EngineName> excluded_;
  std::optional<Placement> placement_;
  uint32_t generation_count_ = 0;
  uint32_t moves_ = 0;
  uint32_t discards_ = 0;
  uint32_t append_attempts_ = 0;
  TimePoint placement_started_at_;
  TimePoint stream_started_at_;
  TimePoint progress_at_;
  uint32_t tokens_at_stream_start_ = 0;
  double score_ = 0;
  ScopedTimer step_timer_;
  ScopedTimer progress_timer_;
  std::unique_ptr<SampleScorer> scorer_;
  std::unique_ptr<CallHandle> generation_;
  AliveFlag alive_;
};

}  // namespace millstair
