/// A leader's view of one follower: replication state and flow control.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/ids.h"
#include "common/time.h"
#include "storage/log_entry.h"

namespace millstair {

enum class ProgressState : uint8_t {
  kProbe,      ///< searches for the last matching entry, one message at a time
  kReplicate,  ///< pipelines entries up to a window of unacknowledged messages
  kSnapshot,   ///< sends a snapshot, one chunk at a time
};

class Progress {
 public:
  Progress(LogIndex next, TimePoint now) : next_(next), last_active_(now) {}

  ProgressState state() const { return state_; }
  /// Index up to which the follower's log is durable and matches the leader's.
  LogIndex match() const { return match_; }
  LogIndex next() const { return next_; }
  bool CanProbe() const { return state_ == ProgressState::kProbe && !probe_sent_; }
  bool WindowOpen(size_t window) const {
    return state_ == ProgressState::kReplicate && in_flight_.size() < window;
  }

  void RecordProbe() { probe_sent_ = true; }
  /// Allows another probe, in case the last one was lost.
  void AllowProbe() { probe_sent_ = false; }
  /// Records that entries up to `last` were sent.
  void RecordSent(LogIndex last);
  /// Records that the follower has `index` durably. Returns whether `match` advanced.
  bool Acknowledge(LogIndex index);
  /// Records that the follower rejected entries after `refused`; the logs may match at `hint`.
  /// Returns false if the rejection is stale.
  bool Reject(LogIndex refused, LogIndex hint);
  void BeginSnapshot(const LogPosition& position, TimePoint now);
  void ResetToProbe();

  TimePoint last_active() const { return last_active_; }
  void RecordActivity(TimePoint now) {
    last_active_ = now;
    replied_ = true;
  }
  /// Unlike `last_active`, doesn't count the start of the leader's term as activity.
  bool HasRepliedSince(TimePoint since) const { return replied_ && last_active_ >= since; }
  /// Whether nothing was acknowledged since the last call although messages are in flight.
  bool Stalled();

  /// Latest read confirmation round that the follower replied to.
  uint64_t confirmed_round = 0;
  /// Commit index last sent to the follower.
  LogIndex sent_commit;
  /// Snapshot being sent; valid in kSnapshot.
  LogPosition snapshot;
  uint64_t snapshot_offset = 0;
  TimePoint chunk_sent;
  /// Time of the last periodic heartbeat; nullopt before the first.
  std::optional<TimePoint> heartbeat_sent;

 private:
  ProgressState state_ = ProgressState::kProbe;
  LogIndex match_;
  LogIndex next_;
  bool probe_sent_ = false;
  /// Last index of each message in flight.
  std::deque<LogIndex> in_flight_;
  TimePoint last_active_;
  bool replied_ = false;
  LogIndex match_at_check_;
};

}  // namespace millstair
