/// The durable log of one Raft group: entries, hard state and snapshots in one folder.
///
/// Records are appended to segment files. Appends gather in memory until `Flush`; one write and one
/// sync are outstanding at a time, so everything that arrived meanwhile goes with the next sync
/// (group commit). A suffix is replaced by writing entries with smaller indices again; a prefix
/// goes by removing whole segments that a snapshot covers. A new segment is begun only when all
/// earlier bytes are durable, so that only the last one can be torn.
///
/// Lives on the node's serial executor.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/alive_flag.h"
#include "storage/entry_index.h"
#include "storage/file_system.h"
#include "storage/log_entry.h"
#include "storage/log_record.h"
#include "storage/log_recovery.h"
#include "storage/snapshot_file.h"

namespace millstair {

struct LogOptions {
  /// A segment is closed once it is larger than this.
  uint64_t segment_bytes = 4 << 20;
  /// Payloads kept in memory; older ones are read from disk.
  uint64_t cache_bytes = 1 << 20;
};

/// Counts records; what was appended up to a sequence is durable once `durable_sequence` reaches
/// it.
using LogSequence = uint64_t;

class SegmentedLog {
 public:
  /// Opens or creates the log in `folder`. DataLoss names the damaged file and offset.
  static absl::StatusOr<std::unique_ptr<SegmentedLog>> Open(FileSystem& files,
                                                            const std::string& folder,
                                                            LogOptions options = {});
  SegmentedLog(const SegmentedLog&) = delete;
  SegmentedLog& operator=(const SegmentedLog&) = delete;

  const HardState& hard_state() const { return hard_state_; }
  /// Position of the newest durable snapshot; index 0 if there is none.
  const LogPosition& snapshot() const { return snapshot_; }
  /// Entries (base, last] are there.
  LogIndex base_index() const { return index_.base(); }
  LogIndex last_index() const { return index_.last(); }
  std::optional<Term> TermAt(LogIndex index) const { return index_.TermAt(index); }
  /// Type of an entry in (base, last].
  std::optional<EntryType> TypeAt(LogIndex index) const;
  /// Entries from `from` to at most `to`; at least one, then as many as fit `max_bytes`.
  /// OutOfRange if `from` is not there, DataLoss if the disk does not give the payload back.
  absl::StatusOr<std::vector<LogEntry>> Read(LogIndex from, LogIndex to, uint64_t max_bytes) const;

  /// Adds entries; from the index of the first one on, they replace what was there.
  void Append(const std::vector<LogEntry>& entries);
  void SaveHardState(const HardState& state);

  /// Sequence of the newest record.
  LogSequence sequence() const { return sequence_; }
  LogSequence durable_sequence() const { return durable_sequence_; }
  /// All entries up to this one are durable.
  LogIndex durable_index() const { return durable_index_; }
  /// Starts writing what was appended, unless a sync is outstanding; then it follows that.
  void Flush();
  /// Called after `durable_sequence` has grown, or with the error that has stopped the log.
  void OnDurable(std::function<void(absl::Status)> callback) { on_durable_ = std::move(callback); }

  /// Writes a snapshot file of `state` and refers to it in the log; `done` follows when all of that
  /// is durable. A log that does not hold `position` starts anew after it. At most one at a time.
  void SaveSnapshot(const LogPosition& position, const std::vector<std::string_view>& state,
                    std::function<void(absl::Status)> done);
  bool saving_snapshot() const { return snapshot_done_ != nullptr; }
  /// The newest snapshot; NotFound if there is none.
  absl::StatusOr<Snapshot> ReadSnapshot() const;
  /// Bytes of the newest snapshot's file, for sending it in chunks.
  absl::StatusOr<std::string> ReadSnapshotBytes(uint64_t offset, uint64_t size) const;
  uint64_t snapshot_file_bytes() const { return snapshot_bytes_; }
  /// Allows entries up to `index` to go; they must be covered by the snapshot.
  void Compact(LogIndex index);

  uint64_t torn_bytes() const { return torn_bytes_; }
  const std::string& folder() const { return folder_; }

 private:
  struct Pending {
    RecordType type;
    LogEntry entry;
    std::string body;
  };

  SegmentedLog(FileSystem& files, std::string folder, LogOptions options);
  absl::Status Recover();
  absl::Status BeginSegment();
  /// What every segment must hold, since the segments before it may go.
  absl::Status AppendSegmentHeader();
  void AppendPending(std::string& batch, uint64_t base);
  void FinishSync(absl::Status status);
  void Fail(absl::Status status);
  void AddRecord(Pending record);
  void RecordSnapshotReference(const LogPosition& position, uint64_t bytes);
  void FinishSnapshot();
  void RemoveCoveredFiles();
  absl::Status LoadPayload(LogIndex index, const IndexedEntry& entry, LogEntry& out) const;

  FileSystem& files_;
  std::string folder_;
  LogOptions options_;
  EntryIndex index_;
  HardState hard_state_;
  LogPosition snapshot_;
  uint64_t snapshot_bytes_ = 0;
  uint64_t torn_bytes_ = 0;

  std::vector<SegmentInfo> segments_;
  std::unique_ptr<AppendFile> active_;
  uint64_t active_durable_ = 0;
  std::vector<Pending> pending_;
  bool syncing_ = false;
  LogSequence sequence_ = 0;
  LogSequence durable_sequence_ = 0;
  LogSequence syncing_sequence_ = 0;
  LogIndex durable_index_;
  LogIndex syncing_index_;

  std::unique_ptr<AppendFile> snapshot_file_;
  /// Record that refers to the new snapshot; 0 while the file itself is being written.
  LogSequence snapshot_sequence_ = 0;
  std::function<void(absl::Status)> snapshot_done_;

  absl::Status failure_;
  std::function<void(absl::Status)> on_durable_;
  AliveFlag alive_;
};

}  // namespace millstair
