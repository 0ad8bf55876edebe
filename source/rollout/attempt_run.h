/// One leased attempt on a gateway: places it on an engine, follows its stream, moves it when the
/// engine fails, then scores and appends the sample.
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

/// What attempts share with their worker.
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
  kSettled = 1,   ///< appended here or elsewhere: nothing is left to do
  kReturned = 2,  ///< to be given back; the tokens so far are worth keeping
  kRestart = 3,   ///< to be given back; another attempt starts from nothing
};

/// Lives on the node's serial executor. Dropping it cancels what is under way.
class AttemptRun : private GenerateObserver {
 public:
  /// `ended` is called once, from a timer of its own.
  AttemptRun(RolloutContext& context, StreamName stream, Attempt attempt,
             std::function<void(AttemptEnd)> ended);
  ~AttemptRun() override;

  void Start() { StartPlacement(); }
  /// Gives back what is still being generated; a finished sample goes on to be appended.
  void Stop();

  const Attempt& attempt() const { return attempt_; }
  const SpanCollector& collected() const { return collected_; }
  /// Engine that still holds the attempt's KV; empty if none does.
  const std::string& kv_source() const { return kv_source_; }

 private:
  enum class Phase : uint8_t { kPlacing, kGenerating, kScoring, kAppending, kEnded };

  void OnChunk(const GenerateChunk& chunk) override;
  void OnFailed(CallFailure failure, bool leaving, const std::string& reason) override;

  /// Spec of the stream; null once it was deleted.
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
  /// Runs `step` from a timer, out of any callback of what it may drop.
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
