// State, restarts and reports of an engine model, and its public interface.
#include "emulator/model/engine_model.h"

#include <utility>

#include "emulator/model/engine_model_impl.h"

namespace millstair {

EngineModel::Impl::Memory::Memory(Environment& environment, const EngineModelOptions& options,
                                  EngineCounts& counts)
    : cache_events(environment, options),
      cache(options.total_kv_blocks,
            [this](bool stored, BlockHash hash) { cache_events.Append(stored, hash); }),
      batch(options, cache, counts),
      weights(options.initial_weights, options.role, options.max_staged) {}

EngineModel::Impl::Impl(Environment& environment, EngineModelOptions options,
                        EngineModelLinks links)
    : environment_(environment),
      options_(std::move(options)),
      links_(std::move(links)),
      truth_(options_.truth_log_limit),
      memory_(std::make_unique<Memory>(environment, options_, counts_)),
      history_(options_.report_lag),
      incarnation_(options_.first_incarnation) {
  RecordState();
}

void EngineModel::Impl::After(Duration delay, std::function<void()> callback) {
  environment_.Schedule(delay,
                        [weak = weak_from_this(), epoch = epoch_, callback = std::move(callback)] {
                          const std::shared_ptr<Impl> self = weak.lock();
                          if (self != nullptr && self->epoch_ == epoch) callback();
                        });
}

LoadFigures EngineModel::Impl::Figures() const {
  return {.running_sequences = memory_->batch.running(),
          .waiting_sequences = memory_->batch.waiting(),
          .waiting_prefill_tokens = memory_->batch.waiting_prefill_tokens(),
          .free_kv_blocks = memory_->cache.available(),
          .step_time = smoothed_step_,
          .newest_cache_event = memory_->cache_events.newest()};
}

void EngineModel::Impl::RecordFigures() {
  counts_.blocks_evicted = evicted_earlier_ + memory_->cache.evicted();
  history_.Record(environment_.Now(), Figures(), state_);
}

void EngineModel::Impl::RecordState() {
  EngineReport report;
  report.incarnation = incarnation_;
  report.draining = draining_;
  report.max_sequences = options_.max_sequences;
  report.total_kv_blocks = options_.total_kv_blocks;
  memory_->weights.Describe(report);
  state_ = std::make_shared<const EngineReport>(std::move(report));
  RecordFigures();
}

EngineReport EngineModel::Impl::CurrentReport() const { return WithLoad(*state_, Figures()); }

absl::StatusOr<EngineReport> EngineModel::Impl::Report() const {
  if (!running_) return absl::UnavailableError("the engine does not run");
  return history_.At(environment_.Now());
}

absl::StatusOr<CacheEvents> EngineModel::Impl::CacheEventsAfter(uint64_t after, bool resync) const {
  if (!running_) return absl::UnavailableError("the engine does not run");
  if (!resync) return memory_->cache_events.Read(after, incarnation_);
  CacheEvents held;
  held.incarnation = incarnation_;
  held.newest = memory_->cache_events.newest();
  for (const BlockHash block : memory_->cache.Contents()) {
    held.events.push_back({held.newest, true, block});
  }
  return held;
}

absl::StatusOr<KvExport> EngineModel::Impl::ExportKv(const std::vector<BlockHash>& blocks) const {
  if (!running_) return absl::UnavailableError("the engine does not run");
  if (memory_->weights.shards() != ShardState::kConsistent) {
    return absl::FailedPreconditionError("the shards hold different weights");
  }
  const uint32_t hits = memory_->cache.LeadingHits(blocks);
  const WeightsId& active = memory_->weights.active();
  return KvExport{
      incarnation_, active.model, active.version, {blocks.begin(), blocks.begin() + hits}};
}

absl::Status EngineModel::Impl::ImportKv(const KvExport& exported) {
  if (!running_) return absl::UnavailableError("the engine does not run");
  const WeightsId& active = memory_->weights.active();
  const bool same = exported.model == active.model && exported.version == active.version;
  if (!same || memory_->weights.shards() != ShardState::kConsistent) {
    return absl::FailedPreconditionError("the blocks are of other weights");
  }
  KvCache& cache = memory_->cache;
  std::vector<BlockIndex> taken;
  for (const BlockHash hash : exported.blocks) {
    std::optional<BlockIndex> block = cache.Share(hash);
    if (!block) {
      block = cache.Allocate();
      if (!block) break;
      block = cache.Publish(*block, hash);
      ++counts_.kv_blocks_imported;
    }
    taken.push_back(*block);
  }
  for (auto block = taken.rbegin(); block != taken.rend(); ++block) cache.Release(*block);
  RecordFigures();
  return absl::OkStatus();
}

void EngineModel::Impl::SetDraining(bool draining) {
  draining_ = draining;
  RecordState();
}

void EngineModel::Impl::Crash() {
  if (!running_) return;
  const std::shared_ptr<Impl> self = shared_from_this();
  running_ = false;
  draining_ = false;
  ++epoch_;
  tick_busy_ = false;
  const std::map<SequenceId, Open> open = std::exchange(open_, {});
  const std::map<OrderId, OrderDone> orders = std::exchange(orders_, {});
  evicted_earlier_ += memory_->cache.evicted();
  memory_ = std::make_unique<Memory>(environment_, options_, counts_);
  history_.Clear();
  smoothed_step_ = Duration(0);
  RecordState();
  for (const auto& [id, generation] : open) {
    if (generation.accepted) ++counts_.failed_by_crash;
    generation.observer->OnFailed(generation.chunk_sent ? CallFailure::kCut : CallFailure::kUnknown,
                                  false, "crash");
  }
  for (const auto& [id, done] : orders) done(absl::UnavailableError("the engine crashed"));
}

void EngineModel::Impl::Restart() {
  if (running_) return;
  running_ = true;
  draining_ = false;
  incarnation_ = Next(incarnation_);
  history_.Clear();
  RecordState();
}

void EngineModel::Impl::Close() {
  running_ = false;
  ++epoch_;
  open_.clear();
  orders_.clear();
}

EngineModel::EngineModel(Environment& environment, EngineModelOptions options,
                         EngineModelLinks links)
    : impl_(std::make_shared<Impl>(environment, std::move(options), std::move(links))) {}

EngineModel::~EngineModel() { impl_->Close(); }

GenerationId EngineModel::Generate(GenerateRequest request, GenerateObserver& observer) {
  return impl_->Generate(std::move(request), observer);
}

void EngineModel::Cancel(GenerationId id) { impl_->Cancel(id); }

void EngineModel::ApplyOrder(const EngineOrder& order, std::function<void(absl::Status)> done) {
  impl_->ApplyOrder(order, std::move(done));
}

absl::StatusOr<EngineReport> EngineModel::Report() const { return impl_->Report(); }

absl::StatusOr<CacheEvents> EngineModel::CacheEventsAfter(uint64_t after, bool resync) const {
  return impl_->CacheEventsAfter(after, resync);
}

absl::StatusOr<KvExport> EngineModel::ExportKv(const std::vector<BlockHash>& blocks) const {
  return impl_->ExportKv(blocks);
}

absl::Status EngineModel::ImportKv(const KvExport& exported) { return impl_->ImportKv(exported); }

void EngineModel::Drain() { impl_->SetDraining(true); }
void EngineModel::Undrain() { impl_->SetDraining(false); }
bool EngineModel::draining() const { return impl_->draining(); }
bool EngineModel::Idle() const { return impl_->Idle(); }

void EngineModel::Crash() {
  const std::shared_ptr<Impl> impl = impl_;
  impl->Crash();
}

void EngineModel::Restart() { impl_->Restart(); }
bool EngineModel::running() const { return impl_->running(); }
void EngineModel::FailNextActivation() { impl_->FailNextActivation(); }
void EngineModel::SetStepTime(const StepTimeOptions& step_time) { impl_->SetStepTime(step_time); }
Incarnation EngineModel::incarnation() const { return impl_->incarnation(); }
const TruthLog& EngineModel::truth() const { return impl_->truth(); }
const EngineCounts& EngineModel::counts() const { return impl_->counts(); }
EngineReport EngineModel::CurrentReport() const { return impl_->CurrentReport(); }

}  // namespace millstair
