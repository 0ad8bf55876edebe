/// Continuous batching: selects which sequences run, wait or are preempted, and applies batch steps
/// to them. No timers or callbacks; the engine model provides those.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "emulator/model/engine_options.h"
#include "emulator/model/generated_text.h"
#include "emulator/model/kv_cache.h"
#include "emulator/model/truth_log.h"
#include "engine/engine_types.h"
#include "engine/prefix_blocks.h"

namespace millstair {

/// Identifies a sequence; equal to its GenerationId.
using SequenceId = uint64_t;

/// Scheduling state of one generation.
struct Sequence {
  SequenceId id = 0;
  std::string request_id;
  RequestPriority priority = RequestPriority::kLive;
  PromptSeed seed;
  /// Tokens of the complete generation, including resumed ones.
  uint32_t length = 0;
  /// Tokens generated so far, including resumed ones.
  uint32_t generated = 0;
  /// Hashes of all full blocks of prompt and generated tokens.
  PrefixHasher text;

  bool running = false;
  /// Tokens to process before the next one can be generated.
  uint32_t prefill_left = 0;
  /// KV blocks held, in text order.
  std::vector<BlockIndex> blocks;
  /// Number of leading `blocks` whose content is in the cache.
  uint32_t published = 0;
  /// The weights changed while blocks were held, so later blocks are not shared either.
  bool spans_swap = false;

  /// Tokens not sent yet; all of one version.
  std::vector<std::string> unsent;

  bool finished() const { return generated >= length; }
};

/// The next run of batch steps.
struct StepPlan {
  uint32_t steps = 0;
  uint32_t decoding = 0;
  uint32_t prefill_tokens = 0;
  bool empty() const { return steps == 0; }
};

/// Duration of the complete run.
Duration DurationOf(const StepPlan& plan, const StepTimeOptions& times);

class BatchScheduler {
 public:
  BatchScheduler(const EngineModelOptions& options, KvCache& cache, EngineCounts& counts);

  /// Whether a sequence of `tokens` tokens fits in the memory when it is otherwise empty.
  bool Fits(uint64_t tokens) const;
  /// Enqueues a sequence behind those of the same priority.
  void Add(std::unique_ptr<Sequence> sequence);
  /// Null if there is no such sequence.
  Sequence* Find(SequenceId id);
  /// Removes the sequence and releases its memory.
  std::unique_ptr<Sequence> Remove(SequenceId id);
  /// Ids of all sequences, in arrival order.
  std::vector<SequenceId> All() const;

  /// Ids of the sequences with unsent tokens, in arrival order.
  std::vector<SequenceId> WithUnsent() const;

  /// Admits waiting sequences, preempting less urgent ones, and plans the next run.
  StepPlan Plan();
  /// Executes the planned run with weights that generate `version`. Returns the ids of the
  /// sequences with a chunk to send, in the order in which they run.
  std::vector<SequenceId> Apply(const StepPlan& plan, WeightVersion version);
  /// Called on a weight change: the blocks of running sequences, and later ones, are no longer
  /// shared.
  void StopSharing();

  uint32_t running() const { return static_cast<uint32_t>(running_.size()); }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  uint64_t waiting_prefill_tokens() const { return waiting_prefill_tokens_; }
  bool empty() const { return sequences_.empty(); }

 private:
  /// Queue order: more urgent first, then by arrival.
  struct WaitKey {
    uint8_t reverse_priority = 0;
    SequenceId id = 0;
    friend auto operator<=>(const WaitKey&, const WaitKey&) = default;  // NOLINT
  };
  static WaitKey KeyOf(const Sequence& sequence);

  void Enqueue(Sequence& sequence);
  void Dequeue(Sequence& sequence);
  void AdmitWaiting();
  /// Allocates memory for the known tokens and one more. False if there is not enough.
  bool AllocateMemory(Sequence& sequence);
  void ReleaseMemory(Sequence& sequence);
  /// The least urgent running sequence, the latest among equals; null if nothing runs.
  Sequence* SelectVictim() const;
  void Preempt(Sequence& sequence);
  void StopRunning(const Sequence& sequence);

  uint32_t Prefill(Sequence& sequence, uint32_t budget);
  void Decode(Sequence& sequence, uint32_t tokens, WeightVersion version);
  /// Publishes full blocks to the cache and allocates a block for the next token, preempting if
  /// none is free. False if the sequence itself was preempted.
  bool ExtendMemory(Sequence& sequence);
  void PublishFullBlocks(Sequence& sequence);

  const EngineModelOptions& options_;
  KvCache& cache_;
  EngineCounts& counts_;
  absl::flat_hash_map<SequenceId, std::unique_ptr<Sequence>> sequences_;
  std::vector<Sequence*> running_;
  std::map<WaitKey, Sequence*> waiting_;
  uint64_t waiting_prefill_tokens_ = 0;
};

}  // namespace millstair
