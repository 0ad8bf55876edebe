#include "storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

#include "absl/strings/str_cat.h"
#include "storage/slow_operation.h"

namespace millstair {
namespace {

constexpr char kLockName[] = "lock";
constexpr char kTemporarySuffix[] = ".tmp";
constexpr mode_t kFileMode = 0644;

absl::Status LastError(const std::string& path, const std::string& action) {
  return absl::ErrnoToStatus(errno, absl::StrCat(path, ": cannot ", action));
}

/// Owns a file descriptor; shared with syncs in progress.
class Descriptor {
 public:
  explicit Descriptor(int value) : value_(value) {}
  ~Descriptor() {
    if (value_ >= 0) ::close(value_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int value() const { return value_; }
  bool valid() const { return value_ >= 0; }

 private:
  int value_;
};

absl::Status WriteAll(int descriptor, const std::string& path, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return LastError(path, "write");
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return absl::OkStatus();
}

/// Makes the directory entries of a folder durable.
absl::Status SyncFolder(const std::string& path) {
  const SlowOperation measured(path, "sync-folder");
  const Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.valid()) return LastError(path, "open folder");
  if (::fsync(folder.value()) != 0) return LastError(path, "sync folder");
  return absl::OkStatus();
}

std::string ParentOf(const std::string& path) {
  return std::filesystem::path(path).parent_path().string();
}

/// Creates `path` and its missing parents; the new directory entries are durable on return.
absl::Status CreateDurableFolder(const std::string& path) {
  if (path.empty() || ::access(path.c_str(), F_OK) == 0) return absl::OkStatus();
  const std::string parent = ParentOf(path);
  if (absl::Status status = CreateDurableFolder(parent); !status.ok()) return status;
  if (::mkdir(path.c_str(), 0755) != 0 && errno != EEXIST) return LastError(path, "create folder");
  return SyncFolder(parent.empty() ? "." : parent);
}

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(std::string path, std::shared_ptr<Descriptor> file, uint64_t size,
                  const BackgroundExecutor& executor)
      : path_(std::move(path)), file_(std::move(file)), size_(size), executor_(executor) {}

  absl::Status Append(std::string_view bytes) override {
    const SlowOperation measured(path_, "write");
    absl::Status status = WriteAll(file_->value(), path_, bytes);
    if (status.ok()) size_ += bytes.size();
    return status;
  }

  absl::Status Truncate(uint64_t size) override {
    const SlowOperation measured(path_, "truncate");
    if (::ftruncate(file_->value(), static_cast<off_t>(size)) != 0) {
      return LastError(path_, "truncate");
    }
    size_ = size;
    return absl::OkStatus();
  }

  void Sync(std::function<void(absl::Status)> done) override {
    executor_.run([file = file_, path = path_, post_back = executor_.post_back,
                   done = std::move(done)]() mutable {
      absl::Status status;
      {
        const SlowOperation measured(path, "sync");
        if (::fdatasync(file->value()) != 0) status = LastError(path, "sync");
      }
      post_back([done = std::move(done), status = std::move(status)] { done(status); });
    });
  }

  uint64_t Size() const override { return size_; }

 private:
  std::string path_;
  std::shared_ptr<Descriptor> file_;
  uint64_t size_;
  BackgroundExecutor executor_;
};

absl::StatusOr<std::string> ReadFrom(const std::string& path, uint64_t offset, uint64_t size,
                                     bool read_all) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.valid()) return LastError(path, "open");
  struct stat information {};
  if (::fstat(file.value(), &information) != 0) return LastError(path, "read size of");
  const auto file_size = static_cast<uint64_t>(information.st_size);
  if (read_all) size = file_size;
  if (offset > file_size || size > file_size - offset) {
    return absl::OutOfRangeError(absl::StrCat(path, ": range beyond the end"));
  }
  std::string bytes(size, '\0');
  uint64_t done = 0;
  while (done < size) {
    const ssize_t count =
        ::pread(file.value(), bytes.data() + done, size - done, static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return LastError(path, "read");
    if (count == 0)
      return absl::DataLossError(absl::StrCat(path, ": file was truncated while it was read"));
    done += static_cast<uint64_t>(count);
  }
  return bytes;
}

}  // namespace

absl::StatusOr<std::unique_ptr<PosixFileSystem>> PosixFileSystem::Open(
    const std::string& folder, BackgroundExecutor executor) {
  if (absl::Status status = CreateDurableFolder(folder); !status.ok()) return status;
  const std::string path = absl::StrCat(folder, "/", kLockName);
  const int lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock < 0) return LastError(path, "open");
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    const bool in_use = errno == EWOULDBLOCK;
    absl::Status status = LastError(path, "lock");
    ::close(lock);
    if (!in_use) return status;
    return absl::FailedPreconditionError(
        absl::StrCat("data folder ", folder, " is in use by another process"));
  }
  return std::unique_ptr<PosixFileSystem>(new PosixFileSystem(folder, lock, std::move(executor)));
}

PosixFileSystem::PosixFileSystem(std::string folder, int lock, BackgroundExecutor executor)
    : folder_(std::move(folder)), lock_(lock), executor_(std::move(executor)) {}

PosixFileSystem::~PosixFileSystem() { ::close(lock_); }

std::string PosixFileSystem::FullPath(const std::string& path) const {
  return path.empty() ? folder_ : absl::StrCat(folder_, "/", path);
}

absl::Status PosixFileSystem::CreateFolder(const std::string& path) {
  return CreateDurableFolder(FullPath(path));
}

absl::StatusOr<std::vector<std::string>> PosixFileSystem::List(const std::string& path) {
  const std::string full = FullPath(path);
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator it(full, error), end; !error && it != end;
       it.increment(error)) {
    names.push_back(it->path().filename().string());
  }
  if (error && error != std::errc::no_such_file_or_directory) {
    return absl::ErrnoToStatus(error.value(), absl::StrCat(full, ": cannot list"));
  }
  std::sort(names.begin(), names.end());
  return names;
}

absl::StatusOr<std::unique_ptr<AppendFile>> PosixFileSystem::OpenAppend(const std::string& path) {
  const std::string full = FullPath(path);
  if (absl::Status status = CreateDurableFolder(ParentOf(full)); !status.ok()) return status;
  auto file = std::make_shared<Descriptor>(
      ::open(full.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode));
  if (!file->valid()) return LastError(full, "open");
  const off_t size = ::lseek(file->value(), 0, SEEK_END);
  if (size < 0) return LastError(full, "read size of");
  // An empty file may be new, or left by an attempt whose sync of the folder failed.
  if (size == 0) {
    if (absl::Status status = SyncFolder(ParentOf(full)); !status.ok()) return status;
  }
  return std::make_unique<PosixAppendFile>(full, std::move(file), static_cast<uint64_t>(size),
                                           executor_);
}

absl::StatusOr<std::string> PosixFileSystem::Read(const std::string& path) {
  return ReadFrom(FullPath(path), 0, 0, true);
}

absl::StatusOr<std::string> PosixFileSystem::ReadRange(const std::string& path, uint64_t offset,
                                                       uint64_t size) {
  return ReadFrom(FullPath(path), offset, size, false);
}

absl::Status PosixFileSystem::Remove(const std::string& path) {
  const std::string full = FullPath(path);
  if (::remove(full.c_str()) != 0) return LastError(full, "remove");
  return SyncFolder(ParentOf(full));
}

absl::Status PosixFileSystem::WriteAtomically(const std::string& path, std::string_view bytes) {
  const std::string full = FullPath(path);
  const SlowOperation measured(full, "replace");
  const std::string temporary = absl::StrCat(full, kTemporarySuffix);
  if (absl::Status status = CreateDurableFolder(ParentOf(full)); !status.ok()) return status;
  {
    const Descriptor file(
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    if (!file.valid()) return LastError(temporary, "open");
    absl::Status status = WriteAll(file.value(), temporary, bytes);
    if (status.ok() && ::fsync(file.value()) != 0) status = LastError(temporary, "sync");
    if (!status.ok()) {
      // Gives back the space on a full disk.
      ::unlink(temporary.c_str());
      return status;
    }
  }
  if (::rename(temporary.c_str(), full.c_str()) != 0) return LastError(full, "replace");
  return SyncFolder(ParentOf(full));
}

}  // namespace millstair
