/// Recovers a log from its segments at startup: drops a torn tail and rejects corruption.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "storage/entry_index.h"
#include "storage/file_system.h"
#include "storage/log_entry.h"

namespace millstair {

/// One segment file, numbered from 1.
struct SegmentInfo {
  uint64_t number = 0;
  /// Largest index of an entry in it; 0 if it has none.
  LogIndex max_index;
};

struct RecoveredLog {
  HardState hard_state;
  LogPosition snapshot;
  std::vector<SegmentInfo> segments;
  /// Contents of the last segment without its torn tail.
  std::string last_segment;
  /// Bytes of the torn tail of the last segment.
  uint64_t torn_bytes = 0;
};

std::string SegmentPath(const std::string& folder, uint64_t number);
std::string SnapshotPath(const std::string& folder, const LogPosition& position);

/// Fills the empty `index` from the files in `folder`. DataLoss names file and offset.
absl::StatusOr<RecoveredLog> RecoverLog(FileSystem& files, const std::string& folder,
                                        EntryIndex& index);

}  // namespace millstair
