/// Messages between the replicas of one Raft group.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "storage/log_entry.h"
#include "storage/segmented_log.h"

namespace millstair {

/// The numbers are sent; they never change meaning.
enum class RaftMessageType : uint8_t {
  kPreVote = 1,         ///< would you vote for me in `term`? Changes nothing at the receiver.
  kPreVoteReply = 2,    ///< granted unless `reject`
  kVote = 3,            ///< position: last entry of the candidate
  kVoteReply = 4,       ///< granted unless `reject`
  kAppend = 5,          ///< position: entry before `entries`; commit
  kAppendReply = 6,     ///< position: match if accepted, else the refused one, with `hint`
  kHeartbeat = 7,       ///< commit, context: round of read confirmation
  kHeartbeatReply = 8,  ///< context
  kSnapshotChunk = 9,   ///< position of the snapshot; offset, total, data
  kSnapshotReply = 10,  ///< position; offset: the byte that is wanted next
  kTimeoutNow = 11,     ///< the leader hands over: start an election at once
  kReadRequest = 12,    ///< follower asks for a confirmed index; context: its number
  kReadReply = 13,      ///< position.index: confirmed, unless `reject`; context
  kRemoved = 14,        ///< the sender is no member of the committed configuration
};
inline constexpr uint8_t kLastRaftMessageType = 14;

struct RaftMessage {
  RaftMessageType type = RaftMessageType::kAppend;
  ReplicaId from;
  ReplicaId to;
  Term term;
  LogPosition position;
  LogIndex commit;
  /// Where the logs may agree, for a refused append.
  LogPosition hint;
  bool reject = false;
  /// The vote is part of a hand-over, so a live leader is no reason to refuse it.
  bool transfer = false;
  uint64_t context = 0;
  /// Consecutive, the first one following `position`.
  std::vector<LogEntry> entries;
  uint64_t offset = 0;
  uint64_t total = 0;
  std::string data;

  /// Not sent: the message may leave once the own log is durable up to here.
  LogSequence after = 0;
};

}  // namespace millstair
