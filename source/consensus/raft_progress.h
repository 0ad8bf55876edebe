/// What a leader knows of one follower, and how much it may send it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/ids.h"
#include "common/time.h"
#include "storage/log_entry.h"

namespace millstair {

enum class ProgressState : uint8_t {
  kProbe,      ///< looks for the place where the logs agree, one message at a time
  kReplicate,  ///< sends ahead of acknowledgements, up to a window
  kSnapshot,   ///< sends a snapshot, one chunk at a time
};

class Progress {
 public:
  Progress(LogIndex next, TimePoint now) : next_(next), last_active_(now) {}

  ProgressState state() const { return state_; }
  /// Durable at the follower and equal to the leader's log up to here.
  LogIndex match() const { return match_; }
  LogIndex next() const { return next_; }
  bool CanProbe() const { return state_ == ProgressState::kProbe && !probe_sent_; }
  bool WindowOpen(size_t window) const {
    return state_ == ProgressState::kReplicate && in_flight_.size() < window;
  }

  void RecordProbe() { probe_sent_ = true; }
  /// A lost probe is sent again after the next heartbeat.
  void AllowProbe() { probe_sent_ = false; }
  /// Entries up to `last` were sent.
  void RecordSent(LogIndex last);
  /// The follower has `index` durably. Whether that is news.
  bool Acknowledge(LogIndex index);
  /// The follower refused entries after `refused`; it may agree at `hint`. False if outdated.
  bool Reject(LogIndex refused, LogIndex hint);
  void BeginSnapshot(const LogPosition& position, TimePoint now);
  void ResetToProbe();

  TimePoint last_active() const { return last_active_; }
  void RecordActivity(TimePoint now) { last_active_ = now; }
  /// Whether nothing was acknowledged since the last call, though something is on its way.
  bool Stalled();

  /// Largest confirmed round of read confirmation.
  uint64_t confirmed_round = 0;
  /// Commit index that the follower was told.
  LogIndex sent_commit;
  /// Snapshot on its way; meaningful in kSnapshot.
  LogPosition snapshot;
  uint64_t snapshot_offset = 0;
  TimePoint chunk_sent;
  /// When the last periodic heartbeat was sent; none before the first.
  std::optional<TimePoint> heartbeat_sent;

 private:
  ProgressState state_ = ProgressState::kProbe;
  LogIndex match_;
  LogIndex next_;
  bool probe_sent_ = false;
  /// Last index of each message that is on its way.
  std::deque<LogIndex> in_flight_;
  TimePoint last_active_;
  LogIndex match_at_check_;
};

}  // namespace millstair
