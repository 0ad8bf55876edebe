#include "rollout/attempt_run.h"

#include <algorithm>

#include "common/event_log.h"
#include "engine/prefix_blocks.h"
#include "rollout/length_estimator.h"
#include "rollout/rollout_wire.h"

namespace millstair {
namespace {

constexpr Duration kPlacementRetryDelay = std::chrono::milliseconds(200);
/// An attempt is returned if no engine accepts it for this long.
constexpr Duration kPlacementTimeout = std::chrono::seconds(10);
constexpr Duration kProgressCheckInterval = std::chrono::milliseconds(500);
/// A stream without a chunk for this long counts as failed.
constexpr Duration kStreamStallTimeout = std::chrono::seconds(5);
/// An attempt with less estimated time left is not moved.
constexpr Duration kMinRemainingToMove = std::chrono::seconds(3);
/// A straggler moves only to an engine that is estimated to finish this many times faster.
constexpr double kMinMoveSpeedup = 1.5;
constexpr uint32_t kMaxMoves = 2;
constexpr uint32_t kMaxDiscards = 5;
/// Stragglers are moved only if the idle time weight of the stream is at least this.
constexpr double kMinIdleWeightToMove = 0.5;
constexpr Duration kAppendTimeout = std::chrono::seconds(5);
constexpr uint32_t kMaxAppendAttempts = 12;

}  // namespace

AttemptRun::AttemptRun(RolloutContext& context, StreamName stream, Attempt attempt,
                       std::function<void(AttemptEnd)> ended)
    : context_(context),
      stream_(std::move(stream)),
      attempt_(std::move(attempt)),
      ended_(std::move(ended)),
      kv_source_(attempt_.kv_source),
      step_timer_(context.environment),
      progress_timer_(context.environment) {
  collected_.Resume(attempt_.resume_tokens, attempt_.resume_spans);
}

AttemptRun::~AttemptRun() {
  generation_.reset();
  EndPlacement(PlacementEnd::kCancelled, CallFailure::kCut, false);
}

void AttemptRun::Stop() {
  if (phase_ != Phase::kPlacing && phase_ != Phase::kGenerating) return;
  if (placement_) kv_source_ = placement_->choice.address;
  End(AttemptEnd::kReturned);
}

void AttemptRun::End(AttemptEnd end) {
  if (phase_ == Phase::kEnded) return;
  phase_ = Phase::kEnded;
  progress_timer_.Cancel();
  Defer([this, end] {
    generation_.reset();
    EndPlacement(PlacementEnd::kCancelled, CallFailure::kCut, false);
    const auto ended = std::move(ended_);
    ended(end);
  });
}

const StreamSpec* AttemptRun::Spec() const {
  return context_.configuration.configuration().FindSpec<StreamSpec>(ResourceKind::kStream,
                                                                     stream_.value());
}

const ModelStatus* AttemptRun::Model() const {
  const Configuration& configuration = context_.configuration.configuration();
  const StreamSpec* stream = Spec();
  if (stream == nullptr) return nullptr;
  const auto* pool = configuration.FindSpec<PoolSpec>(ResourceKind::kPool, stream->pool);
  if (pool == nullptr) return nullptr;
  const auto model = configuration.models.find(pool->model);
  return model == configuration.models.end() ? nullptr : &model->second;
}

// --- generation --------------------------------------------------------------------------------

RoutingRequest AttemptRun::Request() const {
  RoutingRequest request;
  if (const ModelStatus* model = Model()) request.model = model->model;
  request.prefix_blocks = PrefixBlocks(attempt_.prompt.text);
  request.prompt_tokens = CountTokens(attempt_.prompt.text) + collected_.token_count();
  request.expected_tokens = LengthEstimator::Remaining(
      attempt_.expected_tokens, attempt_.prompt.max_tokens, collected_.token_count());
  request.priority = RequestPriority::kRollout;
  request.excluded = excluded_;
  return request;
}

void AttemptRun::StartPlacement() {
  phase_ = Phase::kPlacing;
  generation_.reset();
  placement_started_at_ = context_.environment.Now();
  AttemptPlacement();
}

void AttemptRun::AttemptPlacement() {
  const StreamSpec* stream = Spec();
  if (stream == nullptr) return End(AttemptEnd::kSettled);
  if (IsTooStale()) collected_.Clear();
  if (context_.configuration.LeaseValid()) {
    const ResourceKey pool{ResourceKind::kPool, stream->pool};
    if (std::optional<Placement> placement = context_.placement.Place(pool, Request())) {
      return Generate(*placement);
    }
    // No other engine is available: allow engines that failed before.
    excluded_.clear();
  }
  if (context_.environment.Now() - placement_started_at_ >= kPlacementTimeout) {
    return End(AttemptEnd::kReturned);
  }
  step_timer_.Arm(kPlacementRetryDelay, [this] { AttemptPlacement(); });
}

void AttemptRun::Generate(const Placement& placement) {
  phase_ = Phase::kGenerating;
  placement_ = placement;
  stream_started_at_ = context_.environment.Now();
  progress_at_ = stream_started_at_;
  tokens_at_stream_start_ = collected_.token_count();
  collected_.BeginStream();
  GenerateRequest request;
  request.request_id = fmt::format("{}/{}/{}/{}", stream_, attempt_.prompt.sample, attempt_.epoch,
                                   ++generation_count_);
  if (const ModelStatus* model = Model()) request.model = model->model;
  request.prompt = attempt_.prompt.text;
  request.max_tokens = attempt_.prompt.max_tokens;
  request.priority = RequestPriority::kRollout;
  request.resume_tokens = collected_.tokens();
  request.kv_source = kv_source_ == placement.choice.address ? "" : kv_source_;
  kv_source_.clear();
  progress_timer_.Arm(kProgressCheckInterval, [this] { CheckProgress(); });
  generation_ = context_.engines.Generate(placement.choice.address, std::move(request), *this);
}

void AttemptRun::OnChunk(const GenerateChunk& chunk) {
  if (phase_ != Phase::kGenerating || !placement_) return;
  progress_at_ = context_.environment.Now();
  const ModelStatus* model = Model();
  const absl::Status added =
      collected_.Add(chunk, model == nullptr ? std::vector<PublishedVersion>() : model->published);
  if (!added.ok()) return DiscardAndRestart(std::string(added.message()));
  context_.counts.tokens += chunk.tokens.size();
  if (!chunk.finished) return;
  progress_timer_.Cancel();
  EndPlacement(PlacementEnd::kFinished, CallFailure::kCut, false);
  phase_ = Phase::kScoring;
  Defer([this] { StartScoring(); });
}

void AttemptRun::OnFailed(CallFailure failure, bool leaving, const std::string&) {
  if (phase_ != Phase::kGenerating || !placement_) return;
  progress_timer_.Cancel();
  excluded_.insert(placement_->choice.engine);
  // A draining engine still serves its KV cache; a failed one does not.
  if (leaving) kv_source_ = placement_->choice.address;
  EndPlacement(PlacementEnd::kFailed, failure, leaving);
  ++context_.counts.resumed_elsewhere;
  phase_ = Phase::kPlacing;
  Defer([this] { StartPlacement(); });
}

void AttemptRun::EndPlacement(PlacementEnd end, CallFailure failure, bool leaving) {
  if (!placement_) return;
  PlacementOutcome outcome;
  outcome.end = end;
  outcome.failure = failure;
  outcome.leaving = leaving;
  outcome.tokens =
      collected_.token_count() - std::min(tokens_at_stream_start_, collected_.token_count());
  outcome.elapsed = context_.environment.Now() - stream_started_at_;
  const PlacementId id = placement_->id;
  placement_.reset();
  context_.placement.End(id, outcome);
}

/// Discards the collected tokens and starts over on another engine.
void AttemptRun::DiscardAndRestart(const std::string& reason) {
  LogEvent(EventId::kSampleVoided, "stream={} sample={} engine={} reason=\"{}\"", stream_,
           attempt_.prompt.sample, placement_->choice.engine, reason);
  ++context_.counts.samples_voided;
  progress_timer_.Cancel();
  excluded_.insert(placement_->choice.engine);
  EndPlacement(PlacementEnd::kMixed, CallFailure::kCut, false);
  collected_.Clear();
  kv_source_.clear();
  if (++discards_ >= kMaxDiscards) return End(AttemptEnd::kRestart);
  phase_ = Phase::kPlacing;
  Defer([this] { StartPlacement(); });
}

bool AttemptRun::IsTooStale() const {
  const StreamSpec* stream = Spec();
  const ModelStatus* model = Model();
  const WeightVersion oldest = OldestVersionOf(collected_.spans());
  if (stream == nullptr || model == nullptr || oldest.value() == 0) return false;
  WeightVersion newest;
  for (const PublishedVersion& version : model->published) {
    newest = std::max(newest, version.version);
  }
  return newest > oldest && newest.value() - oldest.value() > stream->staleness_bound;
}

void AttemptRun::CheckProgress() {
  if (phase_ != Phase::kGenerating || !placement_) return;
  progress_timer_.Arm(kProgressCheckInterval, [this] { CheckProgress(); });
  if (context_.environment.Now() - progress_at_ >= kStreamStallTimeout) {
    return OnFailed(CallFailure::kUnknown, false, "no chunk within 5 s");
  }
  if (IsTooStale()) {
    progress_timer_.Cancel();
    EndPlacement(PlacementEnd::kCancelled, CallFailure::kCut, false);
    collected_.Clear();
    phase_ = Phase::kPlacing;
    return Defer([this] { StartPlacement(); });
  }
  const Duration remaining = RemainingTime();
  if (remaining < kMinRemainingToMove) return;
  if (IsEngineLeaving()) return MaybeMove(remaining, 0);
  const StreamSpec* stream = Spec();
  const bool moves = context_.options.tail_handling && moves_ < kMaxMoves && stream != nullptr &&
                     stream->idle_time_weight >= kMinIdleWeightToMove;
  if (moves) MaybeMove(remaining, kMinMoveSpeedup);
}

bool AttemptRun::IsEngineLeaving() const {
  return EffectiveState(context_.configuration.configuration(), placement_->choice.engine) !=
         MemberState::kLive;
}

/// Estimated time to completion at the speed of the current stream.
Duration AttemptRun::RemainingTime() const {
  const uint32_t done = collected_.token_count() - tokens_at_stream_start_;
  if (done == 0) return Duration(0);
  const Duration per_token = (progress_at_ - stream_started_at_) / done;
  return per_token * LengthEstimator::Remaining(attempt_.expected_tokens,
                                                attempt_.prompt.max_tokens,
                                                collected_.token_count());
}

/// Moves to an engine that is estimated to need at most remaining / min_speedup; to any engine if
/// min_speedup is 0.
void AttemptRun::MaybeMove(Duration remaining, double min_speedup) {
  if (!context_.configuration.LeaseValid()) return;
  RoutingRequest request = Request();
  request.excluded.insert(placement_->choice.engine);
  const ResourceKey pool{ResourceKind::kPool, Spec()->pool};
  const std::optional<Placement> other = context_.placement.Place(pool, request);
  if (!other) return;
  if (min_speedup > 0 && ToSeconds(other->choice.estimate) * min_speedup > ToSeconds(remaining)) {
    PlacementOutcome unused;
    unused.end = PlacementEnd::kCancelled;
    return context_.placement.End(other->id, unused);
  }
  if (min_speedup > 0) {
    ++moves_;
    ++context_.counts.stragglers_moved;
  }
  kv_source_ = placement_->choice.address;
  EndPlacement(PlacementEnd::kCancelled, CallFailure::kCut, false);
  generation_.reset();
  Generate(*other);
}

// --- scoring and appending ---------------------------------------------------------------------

void AttemptRun::StartScoring() {
  generation_.reset();
  const StreamSpec* stream = Spec();
  if (stream == nullptr) return End(AttemptEnd::kSettled);
  if (stream->scorer.empty()) return StartAppending(0);
  scorer_ = std::make_unique<SampleScorer>(context_.environment, context_.http);
  scorer_->Score(stream->scorer, JoinTokens(collected_.tokens()),
                 [this](const absl::StatusOr<double>& score) {
                   if (score.ok()) return StartAppending(*score);
                   LogEvent(EventId::kScoringFailed, "stream={} sample={} reason=\"{}\"", stream_,
                            attempt_.prompt.sample, std::string(score.status().message()));
                   ++context_.counts.scorings_failed;
                   // The text is complete; the next attempt only has to score it.
                   End(AttemptEnd::kReturned);
                 });
}

void AttemptRun::StartAppending(double score) {
  phase_ = Phase::kAppending;
  score_ = score;
  Append();
}

Sample AttemptRun::MakeSample(double score) const {
  Sample sample;
  sample.sample = attempt_.prompt.sample;
  sample.step = attempt_.step;
  sample.text = JoinTokens(collected_.tokens());
  sample.token_count = collected_.token_count();
  sample.spans = collected_.spans();
  sample.score = score;
  sample.epoch = attempt_.epoch;
  const ModelStatus* model = Model();
  if (context_.options.faults.spans_from_routing_belief && model != nullptr) {
    for (const PublishedVersion& version : model->published) {
      if (version.version != model->active) continue;
      sample.spans = {{version.version, version.digest, sample.spans.front().engine_incarnation, 0,
                       sample.token_count}};
    }
  }
  return sample;
}

void AttemptRun::Append() {
  ++append_attempts_;
  context_.control.Submit(
      StreamGroup(stream_), CommandMode::kPropose,
      EncodeStreamCommand(AppendSample{MakeSample(score_)}), kAppendTimeout,
      alive_.Guard([this](const absl::StatusOr<std::string>& answer) { OnAppendReply(answer); }));
}

void AttemptRun::OnAppendReply(const absl::StatusOr<std::string>& answer) {
  if (phase_ != Phase::kAppending) return;
  absl::StatusOr<StreamResult> result =
      answer.ok() ? DecodeStreamResult(*answer) : absl::StatusOr<StreamResult>(answer.status());
  if (!result.ok()) {
    // Outcome unknown. Appending is idempotent by sample id, so retry.
    if (append_attempts_ >= kMaxAppendAttempts) return End(AttemptEnd::kReturned);
    step_timer_.Arm(kPlacementRetryDelay, [this] { Append(); });
    return;
  }
  switch (result->code) {
    case StreamResultCode::kOk:
      ++context_.counts.samples_appended;
      return End(AttemptEnd::kSettled);
    case StreamResultCode::kDuplicate:
    case StreamResultCode::kNotFound:
      return End(AttemptEnd::kSettled);
    case StreamResultCode::kVoid:
      if (SubmitPublishedVersion(*result)) return;
      break;
    default:
      break;
  }
  LogEvent(EventId::kSampleRefused, "stream={} sample={} code={} reason=\"{}\"", stream_,
           attempt_.prompt.sample, static_cast<int>(result->code), result->message);
  ++context_.counts.samples_refused;
  End(AttemptEnd::kRestart);
}

/// The log of the stream may lag behind the configuration: submits a published version that the
/// stream does not know yet and appends again. Returns false if there is none.
bool AttemptRun::SubmitPublishedVersion(const StreamResult& result) {
  const ModelStatus* model = Model();
  if (model == nullptr || append_attempts_ > 2) return false;
  for (const PublishedVersion& version : model->published) {
    if (version.version <= result.newest) continue;
    const bool used =
        std::any_of(collected_.spans().begin(), collected_.spans().end(),
                    [&](const VersionSpan& span) { return span.version == version.version; });
    if (!used) continue;
    context_.control.Submit(
        StreamGroup(stream_), CommandMode::kPropose,
        EncodeStreamCommand(RecordPublishedVersion{version.version, version.digest}),
        kAppendTimeout, alive_.Guard([this](const absl::StatusOr<std::string>&) {
          if (phase_ == Phase::kAppending) Append();
        }));
    return true;
  }
  return false;
}

}  // namespace millstair
