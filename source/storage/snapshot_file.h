/// Format of a snapshot file: magic, log position, checksum, then the state as of that position.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "storage/log_entry.h"

namespace millstair {

struct Snapshot {
  LogPosition position;
  std::string state;
};

std::string SnapshotFileName(const LogPosition& position);
/// Encodes the part of the file that precedes the state; `state` is given as parts in order.
std::string EncodeSnapshotFileHeader(const LogPosition& position,
                                     const std::vector<std::string_view>& state);
/// DataLoss naming `path` if `bytes` is not a complete, undamaged snapshot.
absl::StatusOr<Snapshot> DecodeSnapshotFile(const std::string& path, std::string_view bytes);

}  // namespace millstair
