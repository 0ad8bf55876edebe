#include "storage/segmented_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "storage/log_record.h"

namespace millstair {
namespace {

/// Offset of an entry's record in its segment.
uint64_t RecordStart(const EntryLocation& location) {
  return location.offset - kEntryPrefixBytes - kRecordHeaderBytes;
}

uint64_t RecordEnd(const EntryLocation& location) { return location.offset + location.size; }

}  // namespace

absl::StatusOr<std::unique_ptr<SegmentedLog>> SegmentedLog::Open(FileSystem& files,
                                                                 const std::string& folder,
                                                                 LogOptions options) {
  std::unique_ptr<SegmentedLog> log(new SegmentedLog(files, folder, options));
  if (absl::Status status = log->Recover(); !status.ok()) return status;
  return log;
}

SegmentedLog::SegmentedLog(FileSystem& files, std::string folder, LogOptions options)
    : files_(files), folder_(std::move(folder)), options_(options), index_(options.cache_bytes) {}

absl::Status SegmentedLog::Recover() {
  if (absl::Status status = files_.CreateFolder(folder_); !status.ok()) return status;
  auto recovered = RecoverLog(files_, folder_, index_);
  if (!recovered.ok()) return recovered.status();
  hard_state_ = recovered->hard_state;
  snapshot_ = recovered->snapshot;
  segments_ = recovered->segments;
  torn_bytes_ = recovered->torn_bytes;
  durable_index_ = index_.last();
  if (snapshot_.index > LogIndex(0)) {
    auto bytes = files_.Read(SnapshotPath(folder_, snapshot_));
    if (!bytes.ok()) return bytes.status();
    snapshot_bytes_ = bytes->size();
  }
  if (segments_.empty()) return BeginSegment();
  RemoveCoveredFiles();

  return RewriteLastSegment(std::move(recovered->last_segment));
}

absl::Status SegmentedLog::RewriteLastSegment(std::string bytes) {
  const std::string path = SegmentPath(folder_, segments_.back().number);
  // The segment header may have been torn.
  AppendHeaderRecords(bytes, 0);
  if (absl::Status status = files_.WriteAtomically(path, bytes); !status.ok()) return status;
  auto file = files_.OpenAppend(path);
  if (!file.ok()) return file.status();
  active_ = *std::move(file);
  active_durable_ = active_->Size();
  return absl::OkStatus();
}

absl::Status SegmentedLog::BeginSegment() {
  const uint64_t number = segments_.empty() ? 1 : segments_.back().number + 1;
  auto file = files_.OpenAppend(SegmentPath(folder_, number));
  if (!file.ok()) return file.status();
  active_ = *std::move(file);
  active_durable_ = 0;
  segments_.push_back({number, LogIndex(0)});
  return AppendSegmentHeader();
}

absl::Status SegmentedLog::AppendSegmentHeader() {
  std::string header;
  AppendHeaderRecords(header, active_->Size());
  return active_->Append(header);
}

void SegmentedLog::AppendHeaderRecords(std::string& batch, uint64_t base) const {
  const uint64_t number = segments_.back().number;
  AppendRecord(batch, base, number, 0, RecordType::kHardState, EncodeHardState(hard_state_));
  if (snapshot_.index > LogIndex(0) && snapshot_sequence_ == 0) {
    AppendRecord(batch, base, number, 0, RecordType::kSnapshot, EncodeLogPosition(snapshot_));
  }
}

std::optional<EntryType> SegmentedLog::TypeAt(LogIndex index) const {
  const IndexedEntry* entry = index_.Find(index);
  if (entry == nullptr) return std::nullopt;
  return entry->type;
}

absl::StatusOr<std::vector<LogEntry>> SegmentedLog::Read(LogIndex from, LogIndex to,
                                                         uint64_t max_bytes) const {
  // Bounds the number of small entries in a batch.
  constexpr uint64_t kEntryOverhead = 16;
  std::vector<LogEntry> entries;
  SegmentRange range;
  uint64_t bytes = 0;
  for (LogIndex at = from; at <= to; at = Next(at)) {
    const IndexedEntry* indexed = index_.Find(at);
    if (indexed == nullptr) break;
    const uint64_t size = kEntryOverhead + (indexed->payload != nullptr ? indexed->payload->size()
                                                                        : indexed->location.size);
    if (!entries.empty() && bytes + size > max_bytes) break;
    bytes += size;
    LogEntry entry{at, indexed->term, indexed->type, indexed->payload};
    if (entry.payload == nullptr) {
      absl::Status status = LoadPayload(at, to, max_bytes, range, entry);
      if (!status.ok()) return status;
    }
    entries.push_back(std::move(entry));
  }
  if (entries.empty()) {
    return absl::OutOfRangeError(absl::StrCat(folder_, ": no entry ", from.value()));
  }
  return entries;
}

uint64_t SegmentedLog::EndOfRun(LogIndex at, LogIndex to, uint64_t max_bytes) const {
  const EntryLocation first = index_.Find(at)->location;
  uint64_t end = RecordEnd(first);
  for (LogIndex next = Next(at); next <= to; next = Next(next)) {
    const IndexedEntry* entry = index_.Find(next);
    if (entry == nullptr || entry->location.segment != first.segment) break;
    if (RecordStart(entry->location) < end) break;
    if (RecordEnd(entry->location) - RecordStart(first) > max_bytes) break;
    end = RecordEnd(entry->location);
  }
  return end;
}

absl::Status SegmentedLog::LoadPayload(LogIndex index, LogIndex to, uint64_t max_bytes,
                                       SegmentRange& range, LogEntry& out) const {
  const EntryLocation location = index_.Find(index)->location;
  const std::string path = SegmentPath(folder_, location.segment);
  const uint64_t start = RecordStart(location);
  if (!range.Contains(location)) {
    auto bytes = files_.ReadRange(path, start, EndOfRun(index, to, max_bytes) - start);
    if (!bytes.ok()) {
      const bool missing = absl::IsNotFound(bytes.status()) || absl::IsOutOfRange(bytes.status());
      return absl::Status(missing ? absl::StatusCode::kDataLoss : bytes.status().code(),
                          absl::StrCat(path, ": ", bytes.status().message()));
    }
    range = {location.segment, start, *std::move(bytes)};
  }
  const std::string_view record =
      std::string_view(range.bytes).substr(start - range.offset, RecordEnd(location) - start);
  const auto body = RecordBody(record, location.segment, start);
  const auto decoded = DecodeEntryPrefix(body.value_or(std::string_view()));
  if (!decoded.ok() || decoded->index != index || decoded->term != out.term) {
    return absl::DataLossError(absl::StrCat(path, ": damaged at offset ", start));
  }
  out.payload = std::make_shared<std::string>(body->substr(kEntryPrefixBytes));
  return absl::OkStatus();
}

bool SegmentedLog::SegmentRange::Contains(const EntryLocation& location) const {
  return !bytes.empty() && location.segment == segment && RecordStart(location) >= offset &&
         RecordEnd(location) <= offset + bytes.size();
}

void SegmentedLog::Append(const std::vector<LogEntry>& entries) {
  if (entries.empty()) return;
  const LogIndex before(entries.front().index.value() - 1);
  durable_index_ = std::min(durable_index_, before);
  syncing_index_ = std::min(syncing_index_, before);
  for (const LogEntry& entry : entries) {
    index_.Put(entry);
    AddRecord({RecordType::kEntry, entry, {}});
  }
}

void SegmentedLog::SaveHardState(const HardState& state) {
  hard_state_ = state;
  AddRecord({RecordType::kHardState, {}, EncodeHardState(state)});
}

void SegmentedLog::AddRecord(Pending record) {
  ++sequence_;
  pending_.push_back(std::move(record));
}

void SegmentedLog::Flush() {
  if (syncing_ || pending_.empty() || !failure_.ok()) return;
  if (active_->Size() > options_.segment_bytes) {
    if (absl::Status status = BeginSegment(); !status.ok()) return Fail(status);
  }
  std::string batch;
  AppendPending(batch, active_->Size());
  if (absl::Status status = active_->Append(batch); !status.ok()) return Fail(status);
  index_.ShrinkCache();
  syncing_ = true;
  syncing_sequence_ = sequence_;
  syncing_index_ = index_.last();
  active_->Sync(alive_.Guard([this](absl::Status status) { FinishSync(status); }));
}

void SegmentedLog::AppendPending(std::string& batch, uint64_t base) {
  SegmentInfo& segment = segments_.back();
  for (const Pending& record : pending_) {
    const uint64_t at = base + batch.size();
    if (record.type != RecordType::kEntry) {
      AppendRecord(batch, base, segment.number, active_durable_, record.type, record.body);
      continue;
    }
    const LogEntry& entry = record.entry;
    AppendRecord(batch, base, segment.number, active_durable_, record.type,
                 EncodeEntryPrefix(entry), *entry.payload);
    index_.SetLocation(entry.index, {segment.number, at + kRecordHeaderBytes + kEntryPrefixBytes,
                                     static_cast<uint32_t>(entry.payload->size())});
    segment.max_index = std::max(segment.max_index, entry.index);
  }
  unsynced_ = std::exchange(pending_, {});
}

void SegmentedLog::FinishSync(absl::Status status) {
  syncing_ = false;
  if (!status.ok()) return Fail(status);
  unsynced_.clear();
  active_durable_ = active_->Size();
  durable_sequence_ = syncing_sequence_;
  durable_index_ = syncing_index_;
  if (snapshot_sequence_ != 0 && durable_sequence_ >= snapshot_sequence_) FinishSnapshot();
  // The callback may append more and may destroy this log.
  const auto alive = std::make_shared<bool>(false);
  auto check = alive_.Guard([alive] { *alive = true; });
  const auto callback = on_durable_;
  if (callback) callback(absl::OkStatus());
  check();
  if (*alive) Flush();
}

void SegmentedLog::Fail(absl::Status status) {
  failure_ = status;
  pending_.insert(pending_.begin(), std::make_move_iterator(unsynced_.begin()),
                  std::make_move_iterator(unsynced_.end()));
  unsynced_.clear();
  const auto callback = on_durable_;
  if (callback) callback(status);
}

void SegmentedLog::Resume() {
  if (failure_.ok() || resuming_) return;
  resuming_ = true;
  if (absl::Status status = active_->Truncate(active_durable_); !status.ok()) {
    return FinishResume(status);
  }
  // New bytes must not reach the disk before the dropped ones are gone: a crash could leave a
  // mixture of both.
  active_->Sync(alive_.Guard([this](const absl::Status& status) { FinishResume(status); }));
}

void SegmentedLog::FinishResume(const absl::Status& status) {
  resuming_ = false;
  if (!status.ok()) return Fail(status);
  if (active_->Size() == 0) {
    if (absl::Status header = AppendSegmentHeader(); !header.ok()) return Fail(header);
  }
  failure_ = absl::OkStatus();
  // The sync of at least one record shows whether the disk takes writes.
  if (pending_.empty()) SaveHardState(hard_state_);
  Flush();
}

void SegmentedLog::SaveSnapshot(const LogPosition& position,
                                const std::vector<std::string_view>& state,
                                std::function<void(absl::Status)> done) {
  snapshot_sequence_ = 0;
  snapshot_done_ = std::move(done);
  const std::string path = SnapshotPath(folder_, position);
  const std::string header = EncodeSnapshotFileHeader(position, state);
  uint64_t bytes = header.size();
  for (const std::string_view part : state) bytes += part.size();
  const auto finish = [this, path](absl::Status status) {
    snapshot_file_ = nullptr;
    // Gives back the space on a full disk.
    if (!status.ok()) files_.Remove(path).IgnoreError();
    const auto callback = std::exchange(snapshot_done_, nullptr);
    callback(status);
  };
  // Removes the remains of an interrupted save.
  if (absl::Status status = files_.Remove(path); !status.ok() && !absl::IsNotFound(status)) {
    return finish(status);
  }
  auto file = files_.OpenAppend(path);
  if (!file.ok()) return finish(file.status());
  if (absl::Status status = (*file)->Append(header); !status.ok()) return finish(status);
  // Writes the parts separately to avoid copying a large state.
  for (const std::string_view part : state) {
    if (absl::Status status = (*file)->Append(part); !status.ok()) return finish(status);
  }
  snapshot_file_ = *std::move(file);
  snapshot_file_->Sync(alive_.Guard([this, finish, position, bytes](absl::Status status) {
    if (!status.ok()) return finish(status);
    RecordSnapshotReference(position, bytes);
  }));
}

void SegmentedLog::RecordSnapshotReference(const LogPosition& position, uint64_t bytes) {
  snapshot_file_ = nullptr;
  snapshot_ = position;
  snapshot_bytes_ = bytes;
  if (index_.TermAt(position.index) != position.term) {
    index_.Reset(position.index, position.term);
    durable_index_ = std::min(durable_index_, position.index);
    syncing_index_ = std::min(syncing_index_, position.index);
  }
  AddRecord({RecordType::kSnapshot, {}, EncodeLogPosition(position)});
  snapshot_sequence_ = sequence_;
  Flush();
}

void SegmentedLog::FinishSnapshot() {
  snapshot_sequence_ = 0;
  const auto callback = std::exchange(snapshot_done_, nullptr);
  RemoveCoveredFiles();
  callback(absl::OkStatus());
}

absl::StatusOr<Snapshot> SegmentedLog::ReadSnapshot() const {
  if (snapshot_.index == LogIndex(0)) return absl::NotFoundError("no snapshot");
  const std::string path = SnapshotPath(folder_, snapshot_);
  auto bytes = files_.Read(path);
  if (!bytes.ok()) return bytes.status();
  return DecodeSnapshotFile(path, *bytes);
}

absl::StatusOr<std::string> SegmentedLog::ReadSnapshotBytes(uint64_t offset, uint64_t size) const {
  if (offset > snapshot_bytes_)
    return absl::OutOfRangeError("offset is beyond the end of the snapshot");
  return files_.ReadRange(SnapshotPath(folder_, snapshot_), offset,
                          std::min(size, snapshot_bytes_ - offset));
}

void SegmentedLog::Compact(LogIndex index) {
  index_.DropPrefix(std::min(index, snapshot_.index));
  RemoveCoveredFiles();
}

void SegmentedLog::RemoveCoveredFiles() {
  // Until the record that refers to the new snapshot is durable, a restart needs the old files.
  if (saving_snapshot()) return;
  // The segment after a removed one must have a durable header.
  const size_t with_header = active_durable_ > 0 ? segments_.size() : segments_.size() - 1;
  size_t covered = 0;
  while (covered + 1 < with_header && segments_[covered].max_index <= index_.base()) {
    // A file that cannot be removed is tried again with the next snapshot, also one that is gone
    // although the sync of the folder failed.
    const absl::Status removed = files_.Remove(SegmentPath(folder_, segments_[covered].number));
    if (!removed.ok() && !absl::IsNotFound(removed)) break;
    ++covered;
  }
  segments_.erase(segments_.begin(), segments_.begin() + static_cast<std::ptrdiff_t>(covered));
  auto names = files_.List(folder_);
  if (!names.ok()) return;
  for (const std::string& name : *names) {
    if (name.starts_with("snapshot-") && name != SnapshotFileName(snapshot_)) {
      files_.Remove(absl::StrCat(folder_, "/", name)).IgnoreError();
    }
  }
}

}  // namespace millstair
