#include "emulator/model/batch_scheduler.h"

#include <algorithm>
#include <utility>

namespace millstair {
namespace {

uint32_t BlocksFor(uint64_t tokens) {
  return static_cast<uint32_t>((tokens + kPrefixBlockTokens - 1) / kPrefixBlockTokens);
}

}  // namespace

Duration DurationOf(const StepPlan& plan, const StepTimeOptions& times) {
  return plan.steps * (times.base + plan.decoding * times.per_sequence) +
         plan.prefill_tokens * times.per_prefill_token;
}

BatchScheduler::BatchScheduler(const EngineModelOptions& options, KvCache& cache,
                               EngineCounts& counts)
    : options_(options), cache_(cache), counts_(counts) {}

bool BatchScheduler::Fits(uint64_t tokens) const { return BlocksFor(tokens + 1) <= cache_.total(); }

BatchScheduler::WaitKey BatchScheduler::KeyOf(const Sequence& sequence) {
  return {static_cast<uint8_t>(UINT8_MAX - static_cast<uint8_t>(sequence.priority)), sequence.id};
}

void BatchScheduler::Add(std::unique_ptr<Sequence> sequence) {
  Sequence& added = *sequence;
  sequences_[added.id] = std::move(sequence);
  Enqueue(added);
}

Sequence* BatchScheduler::Find(SequenceId id) {
  const auto found = sequences_.find(id);
  return found == sequences_.end() ? nullptr : found->second.get();
}

std::unique_ptr<Sequence> BatchScheduler::Remove(SequenceId id) {
  const auto found = sequences_.find(id);
  if (found == sequences_.end()) return nullptr;
  std::unique_ptr<Sequence> sequence = std::move(found->second);
  sequences_.erase(found);
  if (sequence->running) {
    StopRunning(*sequence);
    ReleaseMemory(*sequence);
  } else {
    Dequeue(*sequence);
  }
  return sequence;
}

std::vector<SequenceId> BatchScheduler::All() const {
  std::vector<SequenceId> ids;
  ids.reserve(sequences_.size());
  for (const auto& [id, sequence] : sequences_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<SequenceId> BatchScheduler::WithUnsent() const {
  std::vector<SequenceId> ids = All();
  std::erase_if(ids, [this](SequenceId id) { return sequences_.at(id)->unsent.empty(); });
  return ids;
}

void BatchScheduler::Enqueue(Sequence& sequence) {
  sequence.running = false;
  sequence.prefill_left = sequence.text.tokens();
  waiting_[KeyOf(sequence)] = &sequence;
  waiting_prefill_tokens_ += sequence.prefill_left;
}

void BatchScheduler::Dequeue(Sequence& sequence) {
  waiting_.erase(KeyOf(sequence));
  waiting_prefill_tokens_ -= sequence.text.tokens();
}

Sequence* BatchScheduler::SelectVictim() const {
  Sequence* victim = nullptr;
  for (Sequence* candidate : running_) {
    if (victim == nullptr || KeyOf(*victim) < KeyOf(*candidate)) victim = candidate;
  }
  return victim;
}

void BatchScheduler::StopRunning(const Sequence& sequence) {
  running_.erase(std::find(running_.begin(), running_.end(), &sequence));
}

void BatchScheduler::Preempt(Sequence& sequence) {
  ++counts_.preempted;
  StopRunning(sequence);
  ReleaseMemory(sequence);
  Enqueue(sequence);
}

void BatchScheduler::ReleaseMemory(Sequence& sequence) {
  // Releases later blocks first, so that a prefix is evicted after the blocks that extend it.
  while (!sequence.blocks.empty()) {
    cache_.Release(sequence.blocks.back());
    sequence.blocks.pop_back();
  }
  sequence.published = 0;
}

bool BatchScheduler::AllocateMemory(Sequence& sequence) {
  const std::vector<BlockHash>& hashes = sequence.text.blocks();
  for (const BlockHash hash : hashes) {
    const std::optional<BlockIndex> shared = cache_.Share(hash);
    if (!shared) break;
    sequence.blocks.push_back(*shared);
  }
  const auto hits = static_cast<uint32_t>(sequence.blocks.size());
  const uint32_t missing = BlocksFor(sequence.text.tokens() + 1) - hits;
  if (!cache_.CanAllocate(missing)) {
    ReleaseMemory(sequence);
    return false;
  }
  for (uint32_t i = 0; i < missing; ++i) sequence.blocks.push_back(*cache_.Allocate());
  sequence.published = hits;
  sequence.spans_swap = false;
  // The last token is always processed, as its output is needed.
  const uint32_t known = sequence.text.tokens();
  sequence.prefill_left = std::max(1U, known - std::min(known, hits * kPrefixBlockTokens));
  counts_.prefix_blocks_reused += hits;
  counts_.prefix_blocks_missed += hashes.size() - hits;
  return true;
}

void BatchScheduler::AdmitWaiting() {
  while (!waiting_.empty()) {
    Sequence& next = *waiting_.begin()->second;
    const bool has_slot = running_.size() < options_.max_sequences;
    if (has_slot && AllocateMemory(next)) {
      const uint32_t prefill_left = next.prefill_left;
      Dequeue(next);
      next.running = true;
      next.prefill_left = prefill_left;
      running_.push_back(&next);
      continue;
    }
    Sequence* victim = SelectVictim();
    if (victim == nullptr || victim->priority >= next.priority) return;
    Preempt(*victim);
  }
}

StepPlan BatchScheduler::Plan() {
  AdmitWaiting();
  StepPlan plan;
  uint32_t shortest = UINT32_MAX;
  uint32_t prefill = 0;
  for (const Sequence* sequence : running_) {
    if (sequence->prefill_left > 0) {
      prefill += std::min(sequence->prefill_left, options_.max_prefill_tokens_per_step - prefill);
      continue;
    }
    ++plan.decoding;
    shortest = std::min(shortest, sequence->length - sequence->generated);
  }
  if (running_.empty()) return plan;
  plan.prefill_tokens = prefill;
  plan.steps = prefill > 0 ? 1 : std::clamp(options_.steps_per_tick, 1U, std::max(1U, shortest));
  return plan;
}

uint32_t BatchScheduler::Prefill(Sequence& sequence, uint32_t budget) {
  const uint32_t tokens = std::min(sequence.prefill_left, budget);
  sequence.prefill_left -= tokens;
  return tokens;
}

void BatchScheduler::Decode(Sequence& sequence, uint32_t tokens, WeightVersion version) {
  const uint32_t produced = std::min(tokens, sequence.length - sequence.generated);
  if (sequence.unsent.empty()) sequence.unsent.reserve(options_.chunk_tokens + tokens);
  for (uint32_t i = 0; i < produced; ++i) {
    std::string token = TokenText(sequence.seed, sequence.generated, version);
    sequence.text.Add(token);
    sequence.unsent.push_back(std::move(token));
    ++sequence.generated;
  }
  counts_.tokens += produced;
}

void BatchScheduler::PublishFullBlocks(Sequence& sequence) {
  if (sequence.spans_swap) return;
  const std::vector<BlockHash>& hashes = sequence.text.blocks();
  const size_t full_blocks = std::min(hashes.size(), sequence.blocks.size());
  for (size_t i = sequence.published; i < full_blocks; ++i) {
    sequence.blocks[i] = cache_.Publish(sequence.blocks[i], hashes[i]);
  }
  sequence.published = std::max(sequence.published, static_cast<uint32_t>(full_blocks));
}

bool BatchScheduler::ExtendMemory(Sequence& sequence) {
  PublishFullBlocks(sequence);
  if (sequence.finished()) return true;
  const uint32_t needed = BlocksFor(sequence.text.tokens() + 1);
  while (sequence.blocks.size() < needed) {
    if (const std::optional<BlockIndex> block = cache_.Allocate()) {
      sequence.blocks.push_back(*block);
      PublishFullBlocks(sequence);
      continue;
    }
    Sequence* victim = SelectVictim();
    Preempt(*victim);
    if (victim == &sequence) return false;
  }
  return true;
}

std::vector<SequenceId> BatchScheduler::Apply(const StepPlan& plan, WeightVersion version) {
  std::vector<SequenceId> to_send;
  const std::vector<Sequence*> batch = running_;
  uint32_t budget = plan.prefill_tokens;
  counts_.steps += plan.steps;
  counts_.prefill_tokens += plan.prefill_tokens;
  for (Sequence* sequence : batch) {
    // Preempted by an earlier sequence of this batch.
    if (!sequence->running) continue;
    uint32_t tokens = plan.steps;
    if (sequence->prefill_left > 0) {
      budget -= Prefill(*sequence, budget);
      if (sequence->prefill_left > 0) continue;
      tokens = 1;
    }
    Decode(*sequence, tokens, version);
    ExtendMemory(*sequence);
    const bool send = sequence->finished() || sequence->unsent.size() >= options_.chunk_tokens;
    if (send) to_send.push_back(sequence->id);
  }
  return to_send;
}

void BatchScheduler::StopSharing() {
  for (Sequence* sequence : running_) sequence->spans_swap = true;
}

}  // namespace millstair
