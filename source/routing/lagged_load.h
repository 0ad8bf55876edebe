/// Load of one engine as this gateway knows it: the last report, which is late, plus what this
/// gateway itself started and ended there since the report's figures were taken.
#pragma once

#include <cstdint>
#include <deque>

#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

class LaggedLoad {
 public:
  /// Takes over `report`, whose figures were taken at `taken_at`. False if it is older than the one
  /// held, by incarnation or time; nothing changes then.
  bool ApplyReport(const EngineReport& report, TimePoint taken_at);
  void OnStarted(TimePoint now, uint32_t prefill_tokens, uint32_t kv_blocks);
  void OnEnded(TimePoint now, uint32_t kv_blocks);

  bool has_report() const { return has_report_; }
  const EngineReport& report() const { return report_; }
  TimePoint taken_at() const { return taken_at_; }

  /// Running and waiting sequences, own changes since the report included.
  double Sequences() const;
  /// Prompt tokens that wait to be processed.
  double WaitingPrefillTokens() const;
  /// KV blocks that are free; not below 0.
  double FreeKvBlocks() const;
  /// Sequences that this gateway started since the report.
  uint32_t StartedSince() const { return started_since_; }
  /// Requests of this gateway under way there.
  uint32_t outstanding() const { return outstanding_; }

 private:
  struct Change {
    TimePoint at;
    int sequences = 0;
    int64_t prefill_tokens = 0;
    int64_t kv_blocks = 0;
  };

  void Add(const Change& change);
  void Forget(const Change& change);

  EngineReport report_;
  TimePoint taken_at_;
  bool has_report_ = false;
  uint32_t outstanding_ = 0;
  std::deque<Change> changes_;
  int sequences_since_ = 0;
  uint32_t started_since_ = 0;
  int64_t prefill_since_ = 0;
  int64_t kv_since_ = 0;
};

}  // namespace millstair
