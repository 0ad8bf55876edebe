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
  kAnew = 3,      ///< to be given back; another attempt starts from nothing
};

/// Lives on the node's serial executor. Dropping it cancels what is under way.
class AttemptRun : private GenerateObserver {
 public:
  /// `ended` is called once, from a timer of its own.
  AttemptRun(RolloutContext& context, StreamName stream, Attempt attempt,
             std::function<void(AttemptEnd)> ended);
  ~AttemptRun() override;

  void Start() { BeginPlacing(); }
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

  void BeginPlacing();
  void TryPlacing();
  void Generate(const Placement& placement);
  void EndPlacement(PlacementEnd end, CallFailure failure, bool leaving);
  void Void(const std::string& reason);
  void Watch();
  bool EngineLeaves() const;
  Duration RemainingTime() const;
  void ConsiderMove(Duration remaining, double gain);
  bool TooOld() const;

  void BeginScoring();
  void BeginAppending(double score);
  void Append();
  void TakeResult(const absl::StatusOr<std::string>& answer);
  bool TellPublished(const StreamResult& result);
  Sample MakeSample(double score) const;
  void End(AttemptEnd end);
  /// Runs `step` from a timer, out of any callback of what it may drop.
  void Later(std::function<void()> step) { step_timer_.Arm(Duration(0), std::move(step)); }

  RolloutContext& context_;
  StreamName stream_;
  Attempt attempt_;
  std::function<void(AttemptEnd)> ended_;
  Phase phase_ = Phase::kPlacing;
  SpanCollector collected_;
  std::string kv_source_;
  std::set<EngineName> excluded_;
  std::optional<Placement> placement_;
  uint32_t tries_ = 0;
  uint32_t moves_ = 0;
  uint32_t voids_ = 0;
  uint32_t appends_ = 0;
  TimePoint placing_since_;
  TimePoint stream_began_at_;
  TimePoint progress_at_;
  uint32_t tokens_at_begin_ = 0;
  double score_ = 0;
  ScopedTimer step_timer_;
  ScopedTimer watch_timer_;
  std::unique_ptr<SampleScorer> scorer_;
  std::unique_ptr<CallHandle> generation_;
  AliveFlag alive_;
};

}  // namespace millstair
