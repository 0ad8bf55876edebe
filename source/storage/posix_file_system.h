/// Files of one data folder on a POSIX file system.
///
/// `AppendFile::Sync` runs on a BackgroundExecutor, so that the node's executor does not block on
/// it; other operations run on the calling thread. The folder is locked (flock) for the lifetime of
/// the object: two processes on one data folder would corrupt each other's logs.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/file_system.h"

namespace millstair {

struct BackgroundExecutor {
  /// Runs a blocking function on another thread.
  std::function<void(std::function<void()>)> run;
  /// Called on that thread to run a function on the node's executor. The function may be dropped
  /// once the node has stopped.
  std::function<void(std::function<void()>)> post_back;
};

class PosixFileSystem : public FileSystem {
 public:
  /// Creates `folder` if it is missing and locks it. FailedPrecondition if another process holds
  /// it, PermissionDenied or another error naming the path if it can't be used.
  static absl::StatusOr<std::unique_ptr<PosixFileSystem>> Open(const std::string& folder,
                                                               BackgroundExecutor executor);
  ~PosixFileSystem() override;
  PosixFileSystem(const PosixFileSystem&) = delete;
  PosixFileSystem& operator=(const PosixFileSystem&) = delete;

  absl::Status CreateFolder(const std::string& path) override;
  absl::StatusOr<std::vector<std::string>> List(const std::string& path) override;
  absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& path) override;
  absl::StatusOr<std::string> Read(const std::string& path) override;
  absl::StatusOr<std::string> ReadRange(const std::string& path, uint64_t offset,
                                        uint64_t size) override;
  absl::Status Remove(const std::string& path) override;
  absl::Status WriteAtomically(const std::string& path, std::string_view bytes) override;

 private:
  PosixFileSystem(std::string folder, int lock, BackgroundExecutor executor);
  std::string FullPath(const std::string& path) const;

  std::string folder_;
  /// Descriptor that holds the lock.
  int lock_;
  BackgroundExecutor executor_;
};

}  // namespace millstair
