/// This gateway's view of one engine's load: the last report plus the requests that this gateway
/// has started and ended there since the report was measured.
#pragma once

#include <cstdint>
#include <deque>

#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

class LaggedLoad {
 public:
  /// Applies `report`, measured at `taken_at`. Returns false and changes nothing if it is not newer
  /// than the last one by incarnation or time.
  bool ApplyReport(const EngineReport& report, TimePoint taken_at);
  void OnStarted(TimePoint now, uint32_t prefill_tokens, uint32_t kv_blocks);
  void OnEnded(TimePoint now, uint32_t kv_blocks);

  bool has_report() const { return has_report_; }
  const EngineReport& report() const { return report_; }
  TimePoint taken_at() const { return taken_at_; }

  /// Running and waiting sequences, including own changes since the report.
  double Sequences() const;
  /// Prompt tokens waiting to be processed.
  double WaitingPrefillTokens() const;
  /// Free KV blocks; at least 0.
  double FreeKvBlocks() const;
  /// Sequences that this gateway has started since the report.
  uint32_t StartedSince() const { return started_since_; }
  /// Requests of this gateway in progress there.
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
