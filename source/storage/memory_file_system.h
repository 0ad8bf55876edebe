/// A disk in memory for virtual time. It keeps what survives a crash apart from what does not:
/// bytes that no finished sync covers are lost, but for a random prefix of them (a torn tail).
///
/// One object is one disk; it outlives the incarnations of its node. `Crash` ends an incarnation.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "common/environment.h"
#include "storage/file_system.h"

namespace millstair {

struct MemoryDiskOptions {
  /// A sync takes a random time between these.
  Duration sync_min = std::chrono::microseconds(200);
  Duration sync_max = std::chrono::microseconds(800);
  /// Whether a crash may leave a prefix of the unsynced bytes of a file.
  bool torn_tails = true;
};

/// Lives on the executor of the node that it is attached to.
class MemoryFileSystem : public FileSystem {
 public:
  /// `environment` gives time to the first incarnation; `seed` draws sync times and torn tails.
  MemoryFileSystem(Environment& environment, uint64_t seed, MemoryDiskOptions options = {});

  absl::Status CreateFolder(const std::string& path) override;
  absl::StatusOr<std::vector<std::string>> List(const std::string& path) override;
  absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& path) override;
  absl::StatusOr<std::string> Read(const std::string& path) override;
  absl::StatusOr<std::string> ReadRange(const std::string& path, uint64_t offset,
                                        uint64_t size) override;
  absl::Status Truncate(const std::string& path, uint64_t size) override;
  absl::Status Remove(const std::string& path) override;
  absl::Status WriteAtomically(const std::string& path, std::string_view bytes) override;

  /// The process died: drops unsynced bytes and invalidates all open files. Call it after the old
  /// environment was killed, then `Attach` the environment of the next incarnation.
  void Crash();
  void Attach(Environment& environment) { environment_ = &environment; }

  /// The disk was replaced by an empty one. Ends the incarnation like `Crash`.
  void LoseDisk();
  /// Changes the time that syncs take from now on (a slow disk).
  void SetSyncTime(Duration min, Duration max);
  /// The next `count` syncs and atomic writes fail with Unavailable; their bytes stay unsynced.
  void FailNextSyncs(int count) { failing_syncs_ = count; }
  /// Every append fails with ResourceExhausted while set.
  void SetFull(bool full) { full_ = full; }
  /// Flips the bits of `mask` in one byte. NotFound or OutOfRange if there is no such byte.
  absl::Status Damage(const std::string& path, uint64_t offset, uint8_t mask);

  /// Paths of all files, sorted.
  std::vector<std::string> Paths() const;
  uint64_t syncs() const { return syncs_; }

 private:
  friend class MemoryAppendFile;

  struct File {
    std::string bytes;
    uint64_t synced = 0;
  };

  absl::Status ConsumeSyncFailure();

  Environment* environment_;
  RandomEngine random_;
  MemoryDiskOptions options_;
  std::map<std::string, std::shared_ptr<File>> files_;
  std::set<std::string> folders_;
  /// Counts incarnations; open files of an earlier one are dead.
  uint64_t generation_ = 0;
  int failing_syncs_ = 0;
  bool full_ = false;
  uint64_t syncs_ = 0;
};

}  // namespace millstair
