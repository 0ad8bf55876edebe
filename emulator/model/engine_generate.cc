// Generations of an engine model: refusal, batching in time, chunks.
#include <utility>

#include "emulator/model/engine_model_impl.h"
#include "engine/prefix_blocks.h"
#include "fmt/format.h"

namespace millstair {
namespace {

/// Weight of the newest run in the smoothed step time, as a divisor.
constexpr int kStepSmoothing = 4;

}  // namespace

std::optional<std::string> EngineModel::Impl::ReasonToRefuse(const GenerateRequest& request) const {
  const WeightsId& active = memory_->weights.active();
  if (draining_) return "draining";
  if (active.version == WeightVersion()) return "no weights are loaded";
  if (request.model != active.model) {
    return fmt::format("serves {} and not {}", active.model.value(), request.model.value());
  }
  if (!request.adapter.empty() && !memory_->weights.HasAdapter(request.adapter)) {
    return fmt::format("adapter {} is not loaded", request.adapter);
  }
  if (memory_->batch.waiting() >= options_.max_waiting) return "too many requests wait";
  // A token takes at least two bytes of text, so the tokens of most prompts need not be counted.
  uint64_t max_total_tokens = request.prompt.size() / 2 + 1 + request.max_tokens;
  if (!memory_->batch.Fits(max_total_tokens)) {
    max_total_tokens = uint64_t{CountTokens(request.prompt)} + request.max_tokens;
  }
  if (!memory_->batch.Fits(max_total_tokens)) return "too long for the KV memory";
  return std::nullopt;
}

std::unique_ptr<Sequence> EngineModel::Impl::MakeSequence(SequenceId id,
                                                          const GenerateRequest& request) const {
  auto sequence = std::make_unique<Sequence>();
  sequence->id = id;
  sequence->request_id = request.request_id;
  sequence->priority = request.priority;
  sequence->seed = SeedOf(request.prompt);
  sequence->length = GenerationLength(sequence->seed, request.max_tokens);
  sequence->generated = static_cast<uint32_t>(request.resume_tokens.size());
  sequence->text.AddText(request.prompt);
  for (const std::string& token : request.resume_tokens) sequence->text.Add(token);
  return sequence;
}

GenerationId EngineModel::Impl::Generate(GenerateRequest request, GenerateObserver& observer) {
  const SequenceId id = next_id_++;
  open_[id] = {.observer = &observer, .request_id = request.request_id};
  if (!running_) {
    Refuse(id, CallFailure::kNotSent, "the engine does not run");
    return GenerationId(id);
  }
  if (const std::optional<std::string> reason = ReasonToRefuse(request)) {
    ++counts_.refused;
    Refuse(id, CallFailure::kRefused, *reason);
    return GenerationId(id);
  }
  ++counts_.accepted;
  open_[id].accepted = true;
  std::unique_ptr<Sequence> sequence = MakeSequence(id, request);
  truth_.RecordStart(request.request_id, sequence->seed, environment_.Now());
  if (!request.kv_source.empty() && links_.fetch_kv) {
    FetchKvThenAdd(std::move(sequence), request.kv_source);
  } else {
    AddToBatch(std::move(sequence));
  }
  return GenerationId(id);
}

void EngineModel::Impl::Refuse(SequenceId id, CallFailure failure, std::string reason) {
  const bool leaving = running_ && draining_;
  After(Duration(0), [this, id, failure, leaving, reason = std::move(reason)] {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    GenerateObserver* observer = found->second.observer;
    open_.erase(found);
    observer->OnFailed(failure, leaving, reason);
  });
}

void EngineModel::Impl::FetchKvThenAdd(std::unique_ptr<Sequence> sequence,
                                       const std::string& source) {
  // std::function needs copyable callbacks.
  auto held = std::make_shared<std::unique_ptr<Sequence>>(std::move(sequence));
  const std::vector<BlockHash> blocks = (*held)->text.blocks();
  const SequenceId id = (*held)->id;
  const auto add = [this, held, id] {
    if (*held != nullptr && open_.contains(id)) AddToBatch(std::move(*held));
  };
  After(options_.kv_fetch_timeout, add);
  links_.fetch_kv(
      source, blocks,
      [weak = weak_from_this(), epoch = epoch_, add](absl::StatusOr<KvExport> exported) {
        const std::shared_ptr<Impl> self = weak.lock();
        if (self == nullptr || self->epoch_ != epoch) return;
        if (!exported.ok() || !self->ImportKv(*exported).ok()) return add();
        const auto count = static_cast<Duration::rep>(exported->blocks.size());
        self->After(count * self->options_.kv_transfer_per_block, add);
      });
}

void EngineModel::Impl::AddToBatch(std::unique_ptr<Sequence> sequence) {
  if (sequence->finished()) {
    // Resumed when all tokens were generated: only the finishing chunk is missing.
    const SequenceId id = sequence->id;
    memory_->batch.Add(std::move(sequence));
    After(Duration(0), [this, id] { Send({id}); });
    return;
  }
  memory_->batch.Add(std::move(sequence));
  RecordFigures();
  EnsureTick();
}

void EngineModel::Impl::Cancel(GenerationId id) {
  const auto found = open_.find(id.value());
  if (found == open_.end()) return;
  if (found->second.accepted) {
    ++counts_.cancelled;
    truth_.RecordCancel(found->second.request_id);
  }
  open_.erase(found);
  if (!running_) return;
  memory_->batch.Remove(id.value());
  RecordFigures();
}

void EngineModel::Impl::EnsureTick() {
  if (tick_busy_ || !running_ || memory_->weights.swapping()) return;
  tick_busy_ = true;
  After(Duration(0), [this] { StartTick(); });
}

void EngineModel::Impl::StartTick() {
  tick_busy_ = false;
  if (memory_->weights.swapping()) return BeginSwap();
  plan_ = memory_->batch.Plan();
  RecordFigures();
  if (plan_.empty()) return;
  tick_busy_ = true;
  After(DurationOf(plan_, options_.step_time), [this] { FinishTick(); });
}

void EngineModel::Impl::FinishTick() {
  const Duration step = DurationOf(plan_, options_.step_time) / plan_.steps;
  smoothed_step_ += smoothed_step_ == Duration(0) ? step : (step - smoothed_step_) / kStepSmoothing;
  const std::vector<SequenceId> ids =
      memory_->batch.Apply(plan_, memory_->weights.generating_version());
  if (Send(ids)) StartTick();
}

GenerateChunk EngineModel::Impl::MakeChunk(Sequence& sequence) {
  const WeightsId& active = memory_->weights.active();
  GenerateChunk chunk;
  chunk.tokens = std::move(sequence.unsent);
  sequence.unsent.clear();
  const auto count = static_cast<uint32_t>(chunk.tokens.size());
  chunk.first_token = sequence.generated - count;
  chunk.version = active.version;
  chunk.digest = active.digest;
  chunk.engine_incarnation = incarnation_;
  chunk.finished = sequence.finished();
  const bool mixed = memory_->weights.mixed();
  if (mixed) counts_.mixed_tokens += count;
  truth_.RecordTokens(
      sequence.request_id,
      {{chunk.version, chunk.digest, incarnation_, chunk.first_token, count}, mixed});
  return chunk;
}

bool EngineModel::Impl::Send(const std::vector<SequenceId>& ids) {
  const std::shared_ptr<Impl> self = shared_from_this();
  const uint64_t epoch = epoch_;
  const bool was_busy = std::exchange(tick_busy_, true);
  for (const SequenceId id : ids) {
    Sequence* sequence = memory_->batch.Find(id);
    const auto open = open_.find(id);
    if (sequence == nullptr || open == open_.end()) continue;
    GenerateObserver* observer = open->second.observer;
    const GenerateChunk chunk = MakeChunk(*sequence);
    open->second.chunk_sent = true;
    if (chunk.finished) {
      ++counts_.finished;
      truth_.RecordFinish(open->second.request_id);
      open_.erase(open);
      memory_->batch.Remove(id);
    }
    observer->OnChunk(chunk);
    if (epoch_ != epoch) return false;
  }
  // Callbacks may have added work while no tick could be scheduled.
  if (!was_busy) After(Duration(0), [this] { StartTick(); });
  return true;
}

}  // namespace millstair
