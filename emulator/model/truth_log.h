/// What an engine model truly did, for checkers. Survives crashes of the model; no product code
/// reads it.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "emulator/model/generated_text.h"
#include "engine/engine_types.h"

namespace millstair {

/// A run of tokens that one set of weights produced. `mixed` spans carry a mixed digest.
struct TruthSpan {
  VersionSpan span;
  bool mixed = false;
  friend bool operator==(const TruthSpan&, const TruthSpan&) = default;
};

/// One attempt, as its engine ran it.
struct TruthRecord {
  std::string request_id;
  PromptSeed prompt;
  /// Times that this request id started to run here; more than 1 is a resent attempt.
  uint32_t executions = 0;
  TimePoint accepted_at;
  bool finished = false;
  bool cancelled = false;
  std::vector<TruthSpan> spans;
};

/// Counts since the model was made, over all incarnations.
struct EngineCounts {
  uint64_t accepted = 0;
  uint64_t accepted_while_draining = 0;
  uint64_t refused = 0;
  uint64_t finished = 0;
  uint64_t cancelled = 0;
  uint64_t failed_by_crash = 0;
  uint64_t preempted = 0;
  uint64_t tokens = 0;
  uint64_t mixed_tokens = 0;
  uint64_t steps = 0;
  uint64_t prefill_tokens = 0;
  uint64_t prefix_blocks_reused = 0;
  uint64_t prefix_blocks_missed = 0;
  uint64_t blocks_evicted = 0;
  uint64_t kv_blocks_imported = 0;
  uint64_t orders_accepted = 0;
  uint64_t orders_refused_by_fence = 0;
  uint64_t swaps = 0;
  uint64_t swaps_failed = 0;
};

class TruthLog {
 public:
  explicit TruthLog(uint32_t limit) : limit_(limit) {}

  /// Notes the start of a request.
  void Started(const std::string& request_id, PromptSeed prompt, TimePoint now);
  /// Notes tokens; joins them to the last span where they continue it.
  void Produced(const std::string& request_id, const TruthSpan& span);
  void Finished(const std::string& request_id);
  void Cancelled(const std::string& request_id);

  /// None if unknown here.
  const TruthRecord* Find(const std::string& request_id) const;
  /// In order of first start.
  const std::deque<TruthRecord>& records() const { return records_; }

 private:
  TruthRecord* FindMutable(const std::string& request_id);

  uint32_t limit_;
  std::deque<TruthRecord> records_;
  /// Position of `records_.front()` in the order of first starts.
  uint64_t first_position_ = 0;
  std::unordered_map<std::string, uint64_t> positions_;
};

}  // namespace millstair
