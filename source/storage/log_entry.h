/// Data types of the replicated log: entries, the Raft hard state and log positions.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/ids.h"

namespace millstair {

enum class EntryType : uint8_t {
  kNoop = 0,           ///< first entry of a new leader; no payload
  kCommand = 1,        ///< for the state machine
  kConfiguration = 2,  ///< complete member list, effective from this entry on
};

/// Shared between log, messages and state machine to avoid copies.
using EntryPayload = std::shared_ptr<const std::string>;

struct LogEntry {
  LogIndex index;
  Term term;
  EntryType type = EntryType::kNoop;
  /// Never null.
  EntryPayload payload;
};

/// Raft state that must be durable before a message that depends on it is sent.
struct HardState {
  Term term;
  /// Replica voted for in `term`; 0 is none.
  ReplicaId vote;
  friend bool operator==(const HardState&, const HardState&) = default;
};

/// A position in the log: the entry at `index` has term `term`.
struct LogPosition {
  LogIndex index;
  Term term;
  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

}  // namespace millstair
