#include "storage/log_recovery.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "fmt/format.h"
#include "storage/log_record.h"
#include "storage/snapshot_file.h"

namespace millstair {
namespace {

constexpr std::string_view kSegmentSuffix = ".log";

absl::StatusOr<std::vector<uint64_t>> SegmentNumbers(FileSystem& files, const std::string& folder) {
  auto names = files.List(folder);
  if (!names.ok()) return names.status();
  std::vector<uint64_t> numbers;
  for (const std::string& name : *names) {
    if (!std::string_view(name).ends_with(kSegmentSuffix)) continue;
    uint64_t number = 0;
    const std::string digits = name.substr(0, name.size() - kSegmentSuffix.size());
    if (!absl::SimpleAtoi(digits, &number)) continue;
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

/// Replays the records of one log in order.
class Replay {
 public:
  Replay(EntryIndex& index, RecoveredLog& log) : index_(index), log_(log) {}

  absl::Status Segment(const std::string& path, uint64_t number, const SegmentScan& scan) {
    SegmentInfo info{number, LogIndex(0)};
    for (const LogRecord& record : scan.records) {
      absl::Status status = Record(record, number, info);
      if (!status.ok()) {
        return absl::DataLossError(
            absl::StrCat(path, ": ", status.message(), " at offset ", record.offset));
      }
    }
    log_.segments.push_back(info);
    return absl::OkStatus();
  }

 private:
  absl::Status Record(const LogRecord& record, uint64_t number, SegmentInfo& info) {
    switch (record.type) {
      case RecordType::kEntry:
        return Entry(record, number, info);
      case RecordType::kHardState: {
        auto state = DecodeHardState(record.body);
        if (state.ok()) log_.hard_state = *state;
        return state.status();
      }
      case RecordType::kSnapshot: {
        auto position = DecodeLogPosition(record.body);
        if (!position.ok()) return position.status();
        if (position->index <= log_.snapshot.index) return absl::OkStatus();
        log_.snapshot = *position;
        ApplySnapshot(*position);
        return absl::OkStatus();
      }
    }
    return absl::InvalidArgumentError("unknown record type");
  }

  void ApplySnapshot(const LogPosition& position) {
    // Entries up to the base were removed because a later snapshot covers them.
    if (position.index < index_.base()) return;
    const bool base_of_gap =
        position.index == index_.base() && !index_.TermAt(position.index).has_value();
    if (base_of_gap) return index_.SetBaseTerm(position.term);
    // A snapshot received from the leader replaces a log that does not contain its position.
    if (index_.TermAt(position.index) == position.term) return;
    index_.Reset(position.index, position.term);
  }

  absl::Status Entry(const LogRecord& record, uint64_t number, SegmentInfo& info) {
    auto entry = DecodeEntryPrefix(record.body);
    if (!entry.ok()) return entry.status();
    info.max_index = std::max(info.max_index, entry->index);
    if (entry->index <= index_.base()) return absl::OkStatus();
    // The gap is from removed segments; a later snapshot record must cover it.
    if (entry->index > Next(index_.last())) {
      index_.Reset(LogIndex(entry->index.value() - 1), std::nullopt);
    }
    entry->payload = std::make_shared<std::string>(record.body.substr(kEntryPrefixBytes));
    index_.Put(*entry);
    const uint64_t at = record.offset + kRecordHeaderBytes + kEntryPrefixBytes;
    index_.SetLocation(entry->index, {number, at, static_cast<uint32_t>(entry->payload->size())});
    index_.ShrinkCache();
    return absl::OkStatus();
  }

  EntryIndex& index_;
  RecoveredLog& log_;
};

absl::Status CheckSnapshot(FileSystem& files, const std::string& folder,
                           const LogPosition& position) {
  if (position.index == LogIndex(0)) return absl::OkStatus();
  const std::string path = SnapshotPath(folder, position);
  auto bytes = files.Read(path);
  if (absl::IsNotFound(bytes.status())) {
    return absl::DataLossError(absl::StrCat(path, ": snapshot is missing"));
  }
  if (!bytes.ok()) return bytes.status();
  return DecodeSnapshotFile(path, *bytes).status();
}

}  // namespace

std::string SegmentPath(const std::string& folder, uint64_t number) {
  return fmt::format("{}/{:020}{}", folder, number, kSegmentSuffix);
}

std::string SnapshotPath(const std::string& folder, const LogPosition& position) {
  return absl::StrCat(folder, "/", SnapshotFileName(position));
}

absl::StatusOr<RecoveredLog> RecoverLog(FileSystem& files, const std::string& folder,
                                        EntryIndex& index) {
  auto numbers = SegmentNumbers(files, folder);
  if (!numbers.ok()) return numbers.status();
  RecoveredLog log;
  Replay replay(index, log);
  for (const uint64_t number : *numbers) {
    const std::string path = SegmentPath(folder, number);
    if (number != numbers->front() + log.segments.size()) {
      return absl::DataLossError(absl::StrCat(path, ": previous segment is missing"));
    }
    auto bytes = files.Read(path);
    if (!bytes.ok()) return bytes.status();
    auto scan = ScanSegment(path, *bytes, number, number == numbers->back());
    if (!scan.ok()) return scan.status();
    if (absl::Status status = replay.Segment(path, number, *scan); !status.ok()) return status;
    log.torn_bytes = bytes->size() - scan->valid_bytes;
    log.last_segment = *std::move(bytes);
    log.last_segment.resize(scan->valid_bytes);
  }
  if (index.base() > log.snapshot.index) {
    return absl::DataLossError(absl::StrCat(folder, ": entries up to ", index.base().value(),
                                            " are missing and no snapshot covers them"));
  }
  if (absl::Status status = CheckSnapshot(files, folder, log.snapshot); !status.ok()) return status;
  return log;
}

}  // namespace millstair
