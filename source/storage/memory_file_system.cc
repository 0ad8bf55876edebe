#include "storage/memory_file_system.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/random.h"

namespace millstair {

class MemoryAppendFile : public AppendFile {
 public:
  MemoryAppendFile(MemoryFileSystem& disk, std::string path,
                   std::shared_ptr<MemoryFileSystem::File> file)
      : disk_(disk),
        path_(std::move(path)),
        file_(std::move(file)),
        generation_(disk.generation_) {}

  absl::Status Append(std::string_view bytes) override {
    if (stale()) return absl::FailedPreconditionError("file of an earlier incarnation");
    if (disk_.Refuses(path_)) {
      file_->bytes.append(bytes.substr(0, DrawBelow(disk_.random_, bytes.size() + 1)));
      return absl::ResourceExhaustedError("disk full");
    }
    file_->bytes.append(bytes);
    return absl::OkStatus();
  }

  absl::Status Truncate(uint64_t size) override {
    if (stale()) return absl::FailedPreconditionError("file of an earlier incarnation");
    file_->Resize(size);
    return absl::OkStatus();
  }

  void Sync(std::function<void(absl::Status)> done) override {
    if (stale()) return;
    const Duration delay =
        DrawDuration(disk_.random_, disk_.options_.sync_min, disk_.options_.sync_max);
    absl::Status status = disk_.ConsumeSyncFailure();
    const uint64_t size = file_->bytes.size();
    disk_.environment_->Schedule(delay, [&disk = disk_, file = file_, generation = generation_,
                                         size, status, done = std::move(done)] {
      if (generation != disk.generation_) return;
      file->FinishSync(size, status.ok());
      done(status);
    });
  }

  uint64_t Size() const override { return file_->bytes.size(); }

 private:
  bool stale() const { return generation_ != disk_.generation_; }

  MemoryFileSystem& disk_;
  std::string path_;
  std::shared_ptr<MemoryFileSystem::File> file_;
  uint64_t generation_;
};

void MemoryFileSystem::File::FinishSync(uint64_t size, bool ok) {
  size = std::min<uint64_t>(size, bytes.size());
  if (!ok && size > synced && !lost_from) lost_from = synced;
  if (ok) synced = std::max(synced, std::min(size, lost_from.value_or(size)));
}

void MemoryFileSystem::File::Resize(uint64_t size) {
  bytes.resize(size);
  synced = std::min(synced, size);
  if (lost_from && *lost_from >= size) lost_from.reset();
}

MemoryFileSystem::MemoryFileSystem(Environment& environment, uint64_t seed,
                                   MemoryDiskOptions options)
    : environment_(&environment), random_(seed), options_(options) {}

absl::Status MemoryFileSystem::CreateFolder(const std::string& path) {
  folders_.insert(path);
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> MemoryFileSystem::List(const std::string& path) {
  const std::string prefix = path.empty() ? "" : path + "/";
  std::set<std::string> names;
  const auto add = [&](const std::string& full) {
    if (full.size() <= prefix.size() || full.compare(0, prefix.size(), prefix) != 0) return;
    const size_t end = full.find('/', prefix.size());
    names.insert(full.substr(prefix.size(), end - prefix.size()));
  };
  for (const auto& [name, file] : files_) add(name);
  for (const auto& name : folders_) add(name);
  return std::vector<std::string>(names.begin(), names.end());
}

absl::StatusOr<std::unique_ptr<AppendFile>> MemoryFileSystem::OpenAppend(const std::string& path) {
  if (Refuses(path) && !files_.contains(path)) return absl::ResourceExhaustedError("disk full");
  auto& file = files_[path];
  if (file == nullptr) file = std::make_shared<File>();
  return std::make_unique<MemoryAppendFile>(*this, path, file);
}

absl::StatusOr<const MemoryFileSystem::File*> MemoryFileSystem::FindReadable(
    const std::string& path) const {
  if (unreadable_) return absl::UnavailableError(absl::StrCat(path, ": cannot read"));
  const auto it = files_.find(path);
  if (it == files_.end()) return absl::NotFoundError(absl::StrCat(path, ": no such file"));
  return it->second.get();
}

absl::StatusOr<std::string> MemoryFileSystem::Read(const std::string& path) {
  const auto file = FindReadable(path);
  if (!file.ok()) return file.status();
  return (*file)->bytes;
}

absl::StatusOr<std::string> MemoryFileSystem::ReadRange(const std::string& path, uint64_t offset,
                                                        uint64_t size) {
  ++range_reads_;
  const auto file = FindReadable(path);
  if (!file.ok()) return file.status();
  const std::string& bytes = (*file)->bytes;
  if (offset > bytes.size() || size > bytes.size() - offset) {
    return absl::OutOfRangeError(absl::StrCat(path, ": range beyond the end"));
  }
  return bytes.substr(offset, size);
}

absl::Status MemoryFileSystem::Remove(const std::string& path) {
  if (files_.erase(path) == 0 && folders_.erase(path) == 0) {
    return absl::NotFoundError(absl::StrCat(path, ": no such file"));
  }
  return absl::OkStatus();
}

absl::Status MemoryFileSystem::WriteAtomically(const std::string& path, std::string_view bytes) {
  if (Refuses(path)) return absl::ResourceExhaustedError("disk full");
  if (absl::Status status = ConsumeSyncFailure(); !status.ok()) return status;
  auto file = std::make_shared<File>();
  file->bytes = std::string(bytes);
  file->synced = bytes.size();
  files_[path] = std::move(file);
  return absl::OkStatus();
}

void MemoryFileSystem::Crash() {
  ++generation_;
  for (auto& [path, entry] : files_) {
    // A new object, so that callbacks of the previous incarnation have no effect.
    auto survivor = std::make_shared<File>();
    uint64_t size = entry->synced;
    const uint64_t unsynced = entry->bytes.size() - entry->synced;
    if (options_.torn_tails) size += DrawBelow(random_, unsynced + 1);
    survivor->bytes = entry->bytes.substr(0, size);
    survivor->synced = size;
    entry = std::move(survivor);
  }
}

void MemoryFileSystem::LoseDisk() {
  ++generation_;
  files_.clear();
  folders_.clear();
}

void MemoryFileSystem::SetSyncTime(Duration min, Duration max) {
  options_.sync_min = min;
  options_.sync_max = max;
}

absl::Status MemoryFileSystem::Damage(const std::string& path, uint64_t offset, uint8_t mask) {
  const auto it = files_.find(path);
  if (it == files_.end()) return absl::NotFoundError(absl::StrCat(path, ": no such file"));
  std::string& bytes = it->second->bytes;
  if (offset >= bytes.size()) return absl::OutOfRangeError("no such byte");
  bytes[offset] = static_cast<char>(static_cast<uint8_t>(bytes[offset]) ^ mask);
  return absl::OkStatus();
}

std::vector<std::string> MemoryFileSystem::Paths() const {
  std::vector<std::string> paths;
  for (const auto& [path, file] : files_) paths.push_back(path);
  return paths;
}

absl::Status MemoryFileSystem::ConsumeSyncFailure() {
  ++syncs_;
  if (failing_syncs_ <= 0) return absl::OkStatus();
  --failing_syncs_;
  return absl::UnavailableError("sync failed");
}

}  // namespace millstair
