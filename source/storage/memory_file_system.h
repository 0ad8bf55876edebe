/// In-memory disk for virtual time. A crash loses the bytes that no completed sync covers, except
/// for a random prefix of them (a torn tail). Bytes that a failed sync covered can be read, but are
/// lost in a crash even if a later sync succeeds, as with a kernel that drops dirty pages whose
/// writeback failed.
///
/// One object represents one disk and outlives the incarnations of its node; `Crash` or `Kill` ends
/// one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "common/environment.h"
#include "storage/file_system.h"

namespace millstair {

struct MemoryDiskOptions {
  /// Bounds of the random duration of a sync.
  Duration sync_min = std::chrono::microseconds(200);
  Duration sync_max = std::chrono::microseconds(800);
  /// Whether a crash may leave a prefix of the unsynced bytes of a file.
  bool torn_tails = true;
};

/// Lives on the executor of the node that it is attached to.
class MemoryFileSystem : public FileSystem {
 public:
  /// `environment` is that of the first incarnation; `seed` determines sync times and torn tails.
  MemoryFileSystem(Environment& environment, uint64_t seed, MemoryDiskOptions options = {});

  absl::Status CreateFolder(const std::string& path) override;
  absl::StatusOr<std::vector<std::string>> List(const std::string& path) override;
  absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& path) override;
  absl::StatusOr<std::string> Read(const std::string& path) override;
  absl::StatusOr<std::string> ReadRange(const std::string& path, uint64_t offset,
                                        uint64_t size) override;
  absl::Status Remove(const std::string& path) override;
  absl::Status WriteAtomically(const std::string& path, std::string_view bytes) override;

  /// Simulates a process crash: drops unsynced bytes and invalidates all open files. To be called
  /// after the environment was killed; then `Attach` the environment of the next incarnation.
  void Crash();
  /// Simulates the end of a process on a machine that keeps running: unsynced bytes stay readable.
  void Kill() { ++generation_; }
  void Attach(Environment& environment) { environment_ = &environment; }

  /// Replaces the disk by an empty one. Ends the incarnation like `Crash`.
  void LoseDisk();
  /// Sets the bounds of the sync duration, for example of a slow disk.
  void SetSyncTime(Duration min, Duration max);
  /// The next `count` syncs and atomic writes fail with Unavailable; their bytes stay unsynced.
  void FailNextSyncs(int count) { failing_syncs_ = count; }
  /// While set, every append writes only a part, new files cannot be created, and both fail with
  /// ResourceExhausted.
  void SetFull(bool full) { full_ = full; }
  /// While not empty, files whose path contains it are treated as on a full disk.
  void RefuseFiles(std::string path_part) { refused_files_ = std::move(path_part); }
  /// While set, reads fail with Unavailable.
  void SetUnreadable(bool unreadable) { unreadable_ = unreadable; }
  /// Flips the bits of `mask` in one byte. NotFound or OutOfRange if there is no such byte.
  absl::Status Damage(const std::string& path, uint64_t offset, uint8_t mask);

  /// Paths of all files, sorted.
  std::vector<std::string> Paths() const;
  uint64_t syncs() const { return syncs_; }
  /// Number of calls of ReadRange.
  uint64_t range_reads() const { return range_reads_; }

 private:
  friend class MemoryAppendFile;

  struct File {
    std::string bytes;
    uint64_t synced = 0;
    /// Offset of the first byte that a failed sync covered, until it is dropped.
    std::optional<uint64_t> lost_from;

    void FinishSync(uint64_t size, bool ok);
    void Resize(uint64_t size);
  };

  absl::Status ConsumeSyncFailure();
  bool Refuses(const std::string& path) const {
    return full_ || (!refused_files_.empty() && path.find(refused_files_) != std::string::npos);
  }
  absl::StatusOr<const File*> FindReadable(const std::string& path) const;

  Environment* environment_;
  RandomEngine random_;
  MemoryDiskOptions options_;
  std::map<std::string, std::shared_ptr<File>> files_;
  std::set<std::string> folders_;
  /// Number of the incarnation; open files of an earlier one are invalid.
  uint64_t generation_ = 0;
  int failing_syncs_ = 0;
  bool full_ = false;
  std::string refused_files_;
  bool unreadable_ = false;
  uint64_t syncs_ = 0;
  uint64_t range_reads_ = 0;
};

}  // namespace millstair
