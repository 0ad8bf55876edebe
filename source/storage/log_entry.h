/// What a replicated log stores: entries, the hard state of Raft, and the position of snapshots.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/ids.h"

namespace millstair {

enum class EntryType : uint8_t {
  kNoop = 0,           ///< first entry of a new leader; no payload
  kCommand = 1,        ///< for the state machine
  kConfiguration = 2,  ///< the whole member list that holds from this entry on
};

/// The payload is shared between log, messages and state machine, so that it is copied once.
using EntryPayload = std::shared_ptr<const std::string>;

struct LogEntry {
  LogIndex index;
  Term term;
  EntryType type = EntryType::kNoop;
  /// Never null.
  EntryPayload payload;
};

/// What a replica must not forget between two messages.
struct HardState {
  Term term;
  /// Replica that got this one's vote in `term`; 0 is none.
  ReplicaId vote;
  friend bool operator==(const HardState&, const HardState&) = default;
};

/// A place in the log: the entry at `index` has term `term`.
struct LogPosition {
  LogIndex index;
  Term term;
  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

}  // namespace millstair
