/// Continuous batching: which sequences run, wait or are preempted, and what one run of batch
/// steps does to them. Pure: time and callbacks lie with the engine model.
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

/// Handle of a sequence; the same number as its GenerationId.
using SequenceId = uint64_t;

/// One generation as the batch sees it.
struct Sequence {
  SequenceId id = 0;
  std::string request_id;
  RequestPriority priority = RequestPriority::kLive;
  PromptSeed seed;
  /// Tokens of the whole generation, resumed ones included.
  uint32_t length = 0;
  /// Tokens of the generation so far, resumed ones included.
  uint32_t generated = 0;
  /// Hashes of all whole blocks of prompt and generated tokens.
  PrefixHasher text;

  bool running = false;
  /// Tokens still to be processed before the next one can be generated.
  uint32_t prefill_left = 0;
  /// KV blocks held, in the order of the text.
  std::vector<BlockIndex> blocks;
  /// How many leading ones of `blocks` have their content in the cache.
  uint32_t published = 0;
  /// The weights changed under the blocks held: what follows is not shared either.
  bool spans_swap = false;

  /// Tokens that have not been sent yet; all of one version.
  std::vector<std::string> unsent;

  bool finished() const { return generated >= length; }
};

/// What the next run of batch steps consists of.
struct StepPlan {
  uint32_t steps = 0;
  uint32_t decoding = 0;
  uint32_t prefill_tokens = 0;
  bool empty() const { return steps == 0; }
};

/// Time of the whole run.
Duration TimeOf(const StepPlan& plan, const StepTimeOptions& times);

class BatchScheduler {
 public:
  BatchScheduler(const EngineModelOptions& options, KvCache& cache, EngineCounts& counts);

  /// Whether a sequence of that many tokens fits in the memory at all.
  bool Fits(uint64_t tokens) const;
  /// Puts a sequence at the end of those of its priority.
  void Add(std::unique_ptr<Sequence> sequence);
  /// None if there is no such sequence.
  Sequence* Find(SequenceId id);
  /// Gives up the sequence and its memory.
  std::unique_ptr<Sequence> Remove(SequenceId id);
  /// Ids of all sequences, in the order of their arrival.
  std::vector<SequenceId> All() const;

  /// Ids of the sequences with tokens that were not sent, in the order of their arrival.
  std::vector<SequenceId> WithUnsent() const;

  /// Lets waiting sequences in, preempting others for more urgent ones, and plans the next run.
  StepPlan Plan();
  /// Does the planned run with weights that generate `version`; ids of the sequences with a chunk
  /// to send, in the order in which they run.
  std::vector<SequenceId> Apply(const StepPlan& plan, WeightVersion version);
  /// The weights change: what running sequences hold, and what follows it, is not shared any more.
  void StopSharing();

  uint32_t running() const { return static_cast<uint32_t>(running_.size()); }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  uint64_t waiting_prefill_tokens() const { return waiting_prefill_tokens_; }
  bool empty() const { return sequences_.empty(); }

 private:
  /// Order of waiting: more urgent first, then by arrival.
  struct WaitKey {
    uint8_t reverse_priority = 0;
    SequenceId id = 0;
    friend auto operator<=>(const WaitKey&, const WaitKey&) = default;  // NOLINT
  };
  static WaitKey KeyOf(const Sequence& sequence);

  void Wait(Sequence& sequence);
  void StopWaiting(Sequence& sequence);
  void AdmitWaiting();
  /// Takes memory for the tokens known so far and one more. False if there is not enough.
  bool TakeMemory(Sequence& sequence);
  void ReleaseMemory(Sequence& sequence);
  /// The least urgent, latest running sequence; none if nothing runs.
  Sequence* Victim() const;
  void Preempt(Sequence& sequence);
  void StopRunning(const Sequence& sequence);

  uint32_t Prefill(Sequence& sequence, uint32_t budget);
  void Decode(Sequence& sequence, uint32_t tokens, WeightVersion version);
  /// Shares whole blocks through the cache and takes a block for the next token, preempting if
  /// there is none. False if the sequence itself was preempted.
  bool ExtendMemory(Sequence& sequence);
  void PublishWholeBlocks(Sequence& sequence);

  const EngineModelOptions& options_;
  KvCache& cache_;
  EngineCounts& counts_;
  absl::flat_hash_map<SequenceId, std::unique_ptr<Sequence>> sequences_;
  std::vector<Sequence*> running_;
  std::map<WaitKey, Sequence*> waiting_;
  uint64_t waiting_prefill_tokens_ = 0;
};

}  // namespace millstair
