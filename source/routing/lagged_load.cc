#include "routing/lagged_load.h"

#include <algorithm>

namespace millstair {
namespace {

/// Bounds the changes kept without a new report; older ones are assumed to be in the report.
constexpr size_t kMaxChanges = 4096;

}  // namespace

bool LaggedLoad::ApplyReport(const EngineReport& report, TimePoint taken_at) {
  if (has_report_) {
    if (report.incarnation < report_.incarnation) return false;
    if (report.incarnation == report_.incarnation && taken_at <= taken_at_) return false;
  }
  report_ = report;
  taken_at_ = taken_at;
  has_report_ = true;
  while (!changes_.empty() && changes_.front().at <= taken_at) {
    Forget(changes_.front());
    changes_.pop_front();
  }
  return true;
}

void LaggedLoad::OnStarted(TimePoint now, uint32_t prefill_tokens, uint32_t kv_blocks) {
  ++outstanding_;
  Add({now, 1, prefill_tokens, kv_blocks});
}

void LaggedLoad::OnEnded(TimePoint now, uint32_t kv_blocks) {
  if (outstanding_ > 0) --outstanding_;
  Add({now, -1, 0, -static_cast<int64_t>(kv_blocks)});
}

double LaggedLoad::Sequences() const {
  const double reported =
      static_cast<double>(report_.running_sequences) + report_.waiting_sequences;
  return std::max({0.0, reported + sequences_since_, static_cast<double>(outstanding_)});
}

double LaggedLoad::WaitingPrefillTokens() const {
  return static_cast<double>(report_.waiting_prefill_tokens) + static_cast<double>(prefill_since_);
}

double LaggedLoad::FreeKvBlocks() const {
  return std::max(0.0,
                  static_cast<double>(report_.free_kv_blocks) - static_cast<double>(kv_since_));
}

void LaggedLoad::Add(const Change& change) {
  changes_.push_back(change);
  sequences_since_ += change.sequences;
  if (change.sequences > 0) ++started_since_;
  prefill_since_ += change.prefill_tokens;
  kv_since_ += change.kv_blocks;
  if (changes_.size() <= kMaxChanges) return;
  Forget(changes_.front());
  changes_.pop_front();
}

void LaggedLoad::Forget(const Change& change) {
  sequences_since_ -= change.sequences;
  if (change.sequences > 0) --started_since_;
  prefill_since_ -= change.prefill_tokens;
  kv_since_ -= change.kv_blocks;
}

}  // namespace millstair
