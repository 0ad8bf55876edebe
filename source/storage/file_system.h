/// File system interface of the log storage. Implemented by posix_file_system and, with injected
/// disk faults, by memory_file_system.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace millstair {

/// An append-only file. Bytes are durable once a `Sync` that began after their append has
/// succeeded.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  /// An append that failed may have written a part of `bytes`.
  virtual absl::Status Append(std::string_view bytes) = 0;
  /// Drops all bytes from `size` on; durable once a later `Sync` has succeeded.
  virtual absl::Status Truncate(uint64_t size) = 0;
  /// Makes all appended bytes durable, off the executor; `done` runs on the executor. Bytes that a
  /// failed sync covered may be readable but lost: a later sync that succeeds does not make them
  /// durable unless they were written again.
  virtual void Sync(std::function<void(absl::Status)> done) = 0;
  virtual uint64_t Size() const = 0;
};

/// Names are relative to the data folder and use '/'.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual absl::Status CreateFolder(const std::string& path) = 0;
  /// Names in `path`, sorted; empty if the folder is missing.
  virtual absl::StatusOr<std::vector<std::string>> List(const std::string& path) = 0;
  /// Opens a file for append, creating it if missing; the directory entry is durable on return.
  virtual absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& path) = 0;
  /// NotFound if the file is missing.
  virtual absl::StatusOr<std::string> Read(const std::string& path) = 0;
  virtual absl::StatusOr<std::string> ReadRange(const std::string& path, uint64_t offset,
                                                uint64_t size) = 0;
  virtual absl::Status Remove(const std::string& path) = 0;
  /// Replaces `path` atomically: after a crash it has either the old or the new contents.
  virtual absl::Status WriteAtomically(const std::string& path, std::string_view bytes) = 0;
};

}  // namespace millstair
