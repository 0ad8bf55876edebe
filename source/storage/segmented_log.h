/// The durable log of one Raft group: entries, hard state and snapshots in one folder.
///
/// Records are appended to segment files. Appends are buffered until `Flush`; one write and one
/// sync are outstanding at a time, so records appended meanwhile share the next sync (group
/// commit). A suffix is replaced by writing entries with the same indices again; a prefix is
/// removed by deleting complete segments that a snapshot covers. A new segment is started only when
/// all earlier bytes are durable, so that only the last one can be torn.
///
/// A write or sync that fails stops the log; `Resume` restarts it. What no successful sync covered
/// is then written again, since after a failed sync the file may show bytes that are not on the
/// disk. For the same reason a log that is opened writes its last segment anew.
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

/// Sequence number of a record; all records up to it are durable once `durable_sequence` reaches
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
  /// The log contains the entries (base, last].
  LogIndex base_index() const { return index_.base(); }
  LogIndex last_index() const { return index_.last(); }
  std::optional<Term> TermAt(LogIndex index) const { return index_.TermAt(index); }
  /// Type of an entry in (base, last].
  std::optional<EntryType> TypeAt(LogIndex index) const;
  /// Entries from `from` to at most `to`; at least one, then as many as fit `max_bytes`.
  /// OutOfRange if `from` is not in the log, DataLoss if a payload can't be read from disk.
  absl::StatusOr<std::vector<LogEntry>> Read(LogIndex from, LogIndex to, uint64_t max_bytes) const;

  /// Appends entries; they replace all entries from the index of the first one on.
  void Append(const std::vector<LogEntry>& entries);
  void SaveHardState(const HardState& state);

  /// Sequence of the newest record.
  LogSequence sequence() const { return sequence_; }
  LogSequence durable_sequence() const { return durable_sequence_; }
  /// All entries up to this one are durable.
  LogIndex durable_index() const { return durable_index_; }
  /// Starts writing the buffered records, or does so after the outstanding sync.
  void Flush();
  /// Not OK while an error has stopped the log: appends are kept in memory until `Resume` succeeds.
  const absl::Status& failure() const { return failure_; }
  /// Restarts a stopped log: drops the part of the last segment that is not durable and writes all
  /// records that are not durable again. The callback of `OnDurable` gets the outcome.
  void Resume();
  /// Registers a callback for when `durable_sequence` advances or an error stops the log.
  void OnDurable(std::function<void(absl::Status)> callback) { on_durable_ = std::move(callback); }

  /// Writes a snapshot file of `state` and a record that refers to it; `done` runs once both are
  /// durable. A log that does not contain `position` is reset to it. At most one at a time. An
  /// error of the file leaves the log as it was; the record is written again after an error of the
  /// log.
  void SaveSnapshot(const LogPosition& position, const std::vector<std::string_view>& state,
                    std::function<void(absl::Status)> done);
  bool saving_snapshot() const { return snapshot_done_ != nullptr; }
  /// Reads the newest snapshot; NotFound if there is none.
  absl::StatusOr<Snapshot> ReadSnapshot() const;
  /// Bytes of the newest snapshot's file, for sending it in chunks.
  absl::StatusOr<std::string> ReadSnapshotBytes(uint64_t offset, uint64_t size) const;
  uint64_t snapshot_file_bytes() const { return snapshot_bytes_; }
  /// Drops entries up to `index`, as far as the snapshot covers them.
  void Compact(LogIndex index);

  uint64_t torn_bytes() const { return torn_bytes_; }
  const std::string& folder() const { return folder_; }

 private:
  struct Pending {
    RecordType type;
    LogEntry entry;
    std::string body;
  };

  /// A part of a segment as read from disk.
  struct SegmentRange {
    uint64_t segment = 0;
    uint64_t offset = 0;
    std::string bytes;
    /// Whether it has the whole record of the entry at `location`.
    bool Contains(const EntryLocation& location) const;
  };

  SegmentedLog(FileSystem& files, std::string folder, LogOptions options);
  absl::Status Recover();
  /// Replaces the last segment by a new file with the recovered bytes and a segment header.
  absl::Status RewriteLastSegment(std::string bytes);
  absl::Status BeginSegment();
  /// Writes the hard state and snapshot position, since earlier segments may be removed.
  absl::Status AppendSegmentHeader();
  void AppendHeaderRecords(std::string& batch, uint64_t base) const;
  void AppendPending(std::string& batch, uint64_t base);
  void FinishSync(absl::Status status);
  void Fail(absl::Status status);
  void FinishResume(const absl::Status& status);
  void AddRecord(Pending record);
  void RecordSnapshotReference(const LogPosition& position, uint64_t bytes);
  void FinishSnapshot();
  void RemoveCoveredFiles();
  /// Reads the payload of `out`, the entry at `index`, from `range` if that contains it. Otherwise
  /// `range` is replaced by the run of records from this one on, up to the entry `to`: a read for
  /// each entry costs three system calls, and a replica reads thousands after a restart.
  absl::Status LoadPayload(LogIndex index, LogIndex to, uint64_t max_bytes, SegmentRange& range,
                           LogEntry& out) const;
  /// End of the records of `at` and of the entries up to `to` that follow it in its segment, within
  /// `max_bytes` unless `at` alone is larger.
  uint64_t EndOfRun(LogIndex at, LogIndex to, uint64_t max_bytes) const;

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
  /// Records that were written but are not durable yet.
  std::vector<Pending> unsynced_;
  bool syncing_ = false;
  bool resuming_ = false;
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
