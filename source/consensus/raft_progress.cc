#include "consensus/raft_progress.h"

#include <algorithm>

namespace millstair {

void Progress::RecordSent(LogIndex last) {
  next_ = Next(last);
  in_flight_.push_back(last);
}

bool Progress::Acknowledge(LogIndex index) {
  probe_sent_ = false;
  while (!in_flight_.empty() && in_flight_.front() <= index) in_flight_.pop_front();
  const bool advanced = index > match_;
  match_ = std::max(match_, index);
  next_ = std::max(next_, Next(index));
  const bool snapshot_done = state_ == ProgressState::kSnapshot && match_ >= snapshot.index;
  if (state_ == ProgressState::kProbe || snapshot_done) {
    state_ = ProgressState::kReplicate;
    next_ = Next(match_);
    in_flight_.clear();
  }
  return advanced;
}

bool Progress::Reject(LogIndex refused, LogIndex hint) {
  if (state_ == ProgressState::kSnapshot) return false;
  if (state_ == ProgressState::kReplicate) {
    if (refused <= match_) return false;
    ResetToProbe();
    return true;
  }
  if (Next(refused) != next_) return false;
  next_ = std::max(Next(match_), std::min(refused, Next(hint)));
  probe_sent_ = false;
  return true;
}

void Progress::BeginSnapshot(const LogPosition& position, TimePoint now) {
  state_ = ProgressState::kSnapshot;
  in_flight_.clear();
  snapshot = position;
  snapshot_offset = 0;
  chunk_sent = now;
}

void Progress::ResetToProbe() {
  state_ = ProgressState::kProbe;
  next_ = Next(match_);
  probe_sent_ = false;
  in_flight_.clear();
}

bool Progress::Stalled() {
  const bool stalled =
      state_ == ProgressState::kReplicate && !in_flight_.empty() && match_ == match_at_check_;
  match_at_check_ = match_;
  return stalled;
}

}  // namespace millstair
