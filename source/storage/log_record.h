/// Frames of a log segment. A frame is
///
///   u32 length of the body | u32 bytes of the segment that were durable when it was written |
///   u8 type | 3 zero bytes | u32 checksum of these 12 bytes | u64 checksum of the body | body
///
/// in little-endian. The checksums are XXH3, seeded with segment and offset, so that a misplaced
/// frame is invalid.
///
/// A crash may leave only a prefix of the last write, or some of its sectors unwritten (zeros). Any
/// other invalid byte is treated as corruption: acknowledged entries may be lost, so the segment is
/// rejected.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "storage/log_entry.h"

namespace millstair {

enum class RecordType : uint8_t { kEntry = 1, kHardState = 2, kSnapshot = 3 };

inline constexpr size_t kRecordHeaderBytes = 24;
/// Bytes of an entry's body before its payload.
inline constexpr size_t kEntryPrefixBytes = 17;

/// One frame of a segment; the body points into the scanned bytes.
struct LogRecord {
  RecordType type;
  uint64_t offset = 0;
  std::string_view body;
};

struct SegmentScan {
  std::vector<LogRecord> records;
  /// Length of the valid part; shorter than the file if its tail is torn.
  uint64_t valid_bytes = 0;
};

/// Appends a frame to `batch`, which will be written at offset `base` of segment `segment`. The
/// body is `body_prefix` followed by `body_rest`.
void AppendRecord(std::string& batch, uint64_t base, uint64_t segment, uint64_t durable_bytes,
                  RecordType type, std::string_view body_prefix, std::string_view body_rest = {});

/// Splits the bytes of segment `segment` (from file `path`) into frames. Only the last segment may
/// have a torn tail. DataLoss naming file and offset if it is damaged.
absl::StatusOr<SegmentScan> ScanSegment(const std::string& path, std::string_view bytes,
                                        uint64_t segment, bool last);

/// Body of the single frame `bytes`, read from `offset` of `segment`; nullopt if it is damaged.
std::optional<std::string_view> RecordBody(std::string_view bytes, uint64_t segment,
                                           uint64_t offset);

std::string EncodeEntryPrefix(const LogEntry& entry);
std::string EncodeHardState(const HardState& state);
std::string EncodeLogPosition(const LogPosition& position);

/// The payload stays empty: it is `body` after kEntryPrefixBytes. InvalidArgument if malformed.
absl::StatusOr<LogEntry> DecodeEntryPrefix(std::string_view body);
absl::StatusOr<HardState> DecodeHardState(std::string_view body);
absl::StatusOr<LogPosition> DecodeLogPosition(std::string_view body);

}  // namespace millstair
