/// Messages between the replicas of one Raft group.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "storage/log_entry.h"
#include "storage/segmented_log.h"

namespace millstair {

/// The values are sent on the wire and must not change.
enum class RaftMessageType : uint8_t {
  kPreVote = 1,         ///< asks for a vote in `term` without changing the receiver
  kPreVoteReply = 2,    ///< granted unless `reject`
  kVote = 3,            ///< position: last entry of the candidate
  kVoteReply = 4,       ///< granted unless `reject`
  kAppend = 5,          ///< position: entry before `entries`; commit
  kAppendReply = 6,     ///< position: match if accepted, else the rejected one, with `hint`
  kHeartbeat = 7,       ///< commit, context: round of read confirmation
  kHeartbeatReply = 8,  ///< context
  kSnapshotChunk = 9,   ///< position of the snapshot; offset, total, data
  kSnapshotReply = 10,  ///< position; offset: next byte expected
  kTimeoutNow = 11,     ///< leadership transfer: start an election at once
  kReadRequest = 12,    ///< follower requests a confirmed index; context: request number
  kReadReply = 13,      ///< position.index: confirmed, unless `reject`; context
  kRemoved = 14,        ///< the receiver is not in the committed configuration
};
inline constexpr uint8_t kLastRaftMessageType = 14;

struct RaftMessage {
  RaftMessageType type = RaftMessageType::kAppend;
  ReplicaId from;
  ReplicaId to;
  Term term;
  LogPosition position;
  LogIndex commit;
  /// Position up to which the logs may match, for a rejected append.
  LogPosition hint;
  bool reject = false;
  /// The election is part of a leadership transfer, so voters ignore that they have a live leader.
  bool transfer = false;
  uint64_t context = 0;
  /// Consecutive; the first one follows `position`.
  std::vector<LogEntry> entries;
  uint64_t offset = 0;
  uint64_t total = 0;
  std::string data;

  /// Not encoded: the message may be sent once the local log is durable up to this.
  LogSequence after = 0;
};

}  // namespace millstair
